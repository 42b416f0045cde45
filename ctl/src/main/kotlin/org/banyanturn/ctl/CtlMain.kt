package org.banyanturn.ctl

import io.ktor.client.HttpClient
import kotlinx.coroutines.runBlocking
import kotlinx.serialization.Serializable
import org.banyanturn.ctl.session.FleetSession
import org.banyanturn.ctl.session.fleetSession
import org.banyanturn.daemon.CommonArguments
import org.banyanturn.daemon.exitWithError
import org.banyanturn.daemon.parseArguments
import org.banyanturn.daemon.settingsOrExit
import org.banyanturn.platform.httpLogService
import org.banyanturn.platform.platformHttpClient
import org.kohsuke.args4j.Argument
import org.kohsuke.args4j.Option
import java.util.UUID
import kotlin.system.exitProcess

private const val PROGRAM = "banyanturn-ctl"
private const val PROMPT = "banyanturn> "

/** Settings of the operators' command line. */
@Serializable
public data class CtlSettings(
    /** Base URL of the log service. */
    val logUrl: String,
    /** Name under which commands stand in the log. */
    val operator: String = defaultOperator(),
)

private class CtlArguments : CommonArguments() {
    @Option(name = "--log", metaVar = "URL", usage = "base URL of the log service, instead of --settings")
    var logUrl: String? = null

    @Option(name = "--format", metaVar = "table|json", usage = "form of the output")
    var format: OutputFormat = OutputFormat.TABLE

    @Argument(metaVar = "COMMAND", usage = "a line of the language; without one, lines are read from the input")
    var command: List<String> = mutableListOf()
}

/** Runs the command of the command line [arguments], or the lines of the input. */
public fun main(arguments: Array<String>) {
    val options = parseArguments(PROGRAM, arguments, CtlArguments())
    val settings = settingsOf(options)
    val exitCode = platformHttpClient().use { client ->
        val interpreter = Interpreter(sessionOf(client, settings))
        when {
            options.command.isEmpty() -> runLines(interpreter, options.format)
            else -> runLine(interpreter, options.format, options.command.joinToString(" ")).exitCode
        }
    }
    exitProcess(exitCode)
}

private fun settingsOf(options: CtlArguments): CtlSettings {
    val logUrl = options.logUrl ?: return settingsOrExit(PROGRAM, options, CtlSettings.serializer())
    if (options.settingsFile != null) exitWithError(PROGRAM, "give either --log or --settings")
    return CtlSettings(logUrl)
}

private fun sessionOf(client: HttpClient, settings: CtlSettings): FleetSession =
    fleetSession(httpLogService(client, settings.logUrl), settings.operator) { UUID.randomUUID().toString() }

private fun defaultOperator(): String = System.getProperty("user.name") ?: "operator"

private fun runLine(interpreter: Interpreter, format: OutputFormat, line: String): Reply {
    val reply = runBlocking { interpreter.run(line) }
    val isFault = reply is Reply.Malformed || reply is Reply.Failed
    val output = if (isFault && format == OutputFormat.TABLE) System.err else System.out
    val text = format.render(reply)
    if (text.isNotEmpty()) output.println(text)
    return reply
}

/** Runs the lines of the input and returns the highest exit code, or 0 at a terminal. */
private fun runLines(interpreter: Interpreter, format: OutputFormat): Int {
    val isTerminal = System.console() != null
    val replies = inputLines(isTerminal)
        .filter { it.isNotBlank() }
        .map { runLine(interpreter, format, it.trim()) }
        .takeWhile { it !is Reply.Exit }
    val exitCode = replies.maxOfOrNull(Reply::exitCode) ?: EXIT_ACCEPTED
    return if (isTerminal) EXIT_ACCEPTED else exitCode
}

private fun inputLines(isTerminal: Boolean): Sequence<String> =
    generateSequence {
        if (isTerminal) print(PROMPT)
        readlnOrNull()
    }
