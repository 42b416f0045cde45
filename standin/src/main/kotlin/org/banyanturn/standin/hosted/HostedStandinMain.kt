package org.banyanturn.standin.hosted

import kotlinx.coroutines.delay
import kotlinx.coroutines.runBlocking
import org.banyanturn.daemon.CommonArguments
import org.banyanturn.daemon.exitWithError
import org.banyanturn.daemon.parseArguments
import org.kohsuke.args4j.Option
import java.io.IOException
import java.nio.file.Files
import java.nio.file.Path

private const val PROGRAM = "banyanturn-hosted-standin"
private const val HEARTBEAT_MILLIS = 1_200L

private class HostedStandinArguments : CommonArguments() {
    @Option(name = "--store-port", metaVar = "PORT", usage = "port of the store", required = true)
    var storePort: Int = 0

    @Option(name = "--document", metaVar = "FILE", usage = "the operators' document", required = true)
    var document: String = ""

    @Option(name = "--engines", metaVar = "COUNT", usage = "engines of the service llm; each holds the model m0")
    var engines: Int = 2
}

/** Runs a stand-in for the prepared platform with some engines and a plain service, as [arguments] say. */
public fun main(arguments: Array<String>) {
    val options = parseArguments(PROGRAM, arguments, HostedStandinArguments())
    val document = try {
        Files.readString(Path.of(options.document))
    } catch (error: IOException) {
        exitWithError(PROGRAM, "${options.document} can't be read: ${error.message}")
    }
    runBlocking {
        val platform = HostedPlatformStandin()
        platform.start(options.storePort)
        platform.declare(document)
        repeat(options.engines) { platform.startEngine("i-$it", "llm", listOf("m0")) }
        platform.startService("s-0", "cal")
        while (true) {
            delay(HEARTBEAT_MILLIS)
            platform.listAll()
        }
    }
}
