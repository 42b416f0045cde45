package org.banyanturn.standin

import kotlinx.coroutines.awaitCancellation
import kotlinx.coroutines.runBlocking
import org.banyanturn.daemon.CommonArguments
import org.banyanturn.daemon.exitWithError
import org.banyanturn.daemon.parseArguments
import org.banyanturn.daemon.settingsOrExit
import org.banyanturn.platform.http.wireJson
import org.kohsuke.args4j.Option
import java.nio.file.Files
import java.nio.file.Path
import java.nio.file.StandardCopyOption
import kotlin.io.path.writeText

private const val PROGRAM = "banyanturn-standin"

private class StandinArguments : CommonArguments() {
    @Option(name = "--port-file", metaVar = "FILE", usage = "write the listeners' ports to this file as JSON")
    var portFile: String? = null
}

/** Runs the stand-ins that the settings file of the command line [arguments] names. */
public fun main(arguments: Array<String>) {
    val options = parseArguments(PROGRAM, arguments, StandinArguments())
    val settings = settingsOrExit(PROGRAM, options, StandinSettings.serializer())
    runBlocking {
        val standin = startOrExit(settings)
        options.portFile?.let { writePortFile(Path.of(it), standin.ports) }
        standin.ports.forEach { println("${it.name} listens on ${settings.host}:${it.port}") }
        awaitCancellation()
    }
}

private suspend fun startOrExit(settings: StandinSettings): Standin =
    try {
        startStandin(settings)
    } catch (unusable: java.io.IOException) {
        exitWithError(PROGRAM, "a listener can't start: ${unusable.message}")
    }

/** Writes [ports] as one JSON object of names and ports; readers see the whole file or none. */
internal fun writePortFile(file: Path, ports: List<ListenerPort>) {
    val temporary = file.resolveSibling("${file.fileName}.tmp")
    temporary.writeText(wireJson.encodeToString(ports.associate { it.name to it.port }))
    Files.move(temporary, file, StandardCopyOption.ATOMIC_MOVE, StandardCopyOption.REPLACE_EXISTING)
}
