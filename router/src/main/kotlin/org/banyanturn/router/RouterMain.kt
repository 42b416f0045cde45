package org.banyanturn.router

import kotlinx.coroutines.Dispatchers
import kotlinx.coroutines.runBlocking
import org.banyanturn.daemon.CommonArguments
import org.banyanturn.daemon.logs.configureLogs
import org.banyanturn.daemon.parseArguments
import org.banyanturn.daemon.runUntilSignal
import org.banyanturn.daemon.settingsOrExit
import kotlin.system.exitProcess

private const val PROGRAM = "banyanturn-router"

/** Runs a router with the command line [arguments]. */
public fun main(arguments: Array<String>) {
    val parsed = parseArguments(PROGRAM, arguments, CommonArguments())
    val settings = settingsOrExit(PROGRAM, parsed, RouterSettings.serializer())
    configureLogs(settings.logs)
    runBlocking(Dispatchers.Default) {
        val router = startRouter(settings)
        runUntilSignal(block = {}, stop = router::stop)
    }
    exitProcess(0)
}
