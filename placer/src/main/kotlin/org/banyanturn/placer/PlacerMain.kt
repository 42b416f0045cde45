package org.banyanturn.placer

import kotlinx.coroutines.Dispatchers
import kotlinx.coroutines.runBlocking
import org.banyanturn.daemon.CommonArguments
import org.banyanturn.daemon.logs.configureLogs
import org.banyanturn.daemon.parseArguments
import org.banyanturn.daemon.runUntilSignal
import org.banyanturn.daemon.settingsOrExit
import kotlin.system.exitProcess

private const val PROGRAM = "banyanturn-placer"

/** Runs a placer with the command line [arguments]. */
public fun main(arguments: Array<String>) {
    val parsed = parseArguments(PROGRAM, arguments, CommonArguments())
    val settings = settingsOrExit(PROGRAM, parsed, PlacerSettings.serializer())
    configureLogs(settings.logs)
    runBlocking(Dispatchers.Default) {
        val placer = startPlacer(settings)
        runUntilSignal(block = {}, stop = placer::stop)
    }
    exitProcess(0)
}
