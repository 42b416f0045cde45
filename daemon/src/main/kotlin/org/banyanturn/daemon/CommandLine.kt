package org.banyanturn.daemon

import com.github.michaelbull.result.getOrElse
import kotlinx.serialization.DeserializationStrategy
import org.banyanturn.daemon.settings.loadSettings
import org.kohsuke.args4j.CmdLineException
import org.kohsuke.args4j.CmdLineParser
import org.kohsuke.args4j.Option
import java.nio.file.Path
import kotlin.system.exitProcess

/** Exit code for a bad command line or bad settings. */
public const val EXIT_USAGE: Int = 2

/** The options that every binary has; a binary with more options extends it. */
public open class CommonArguments {
    /** Path of the settings file. */
    @Option(name = "--settings", metaVar = "FILE", usage = "read the settings from this YAML file")
    public var settingsFile: String? = null

    /** Whether to read the settings, say what is wrong with them and end. */
    @Option(name = "--check", usage = "check the settings, say what is wrong and end")
    public var isCheckOnly: Boolean = false

    /** Whether to print the version and end. */
    @Option(name = "--version", usage = "print the version and end")
    public var isVersionRequested: Boolean = false

    /** Whether to print the options and end. */
    @Option(name = "--help", aliases = ["-h"], usage = "print this help and end")
    public var isHelpRequested: Boolean = false
}

/**
 * Returns [target] filled from the command line [arguments].
 *
 * Ends the process after `--help` and `--version`, and with [EXIT_USAGE] on a bad command line.
 */
public fun <A : CommonArguments> parseArguments(program: String, arguments: Array<String>, target: A): A {
    val parser = CmdLineParser(target)
    try {
        parser.parseArgument(arguments.toList())
    } catch (error: CmdLineException) {
        exitWithError(program, error.message.orEmpty())
    }
    if (target.isHelpRequested) {
        println("usage: $program [options]")
        parser.printUsage(System.out)
        exitProcess(0)
    }
    if (target.isVersionRequested) {
        println("$program $VERSION")
        exitProcess(0)
    }
    return target
}

/**
 * Returns the settings that [arguments] name.
 *
 * Ends the process after `--check`, and with [EXIT_USAGE] if there is no file or its content is wrong.
 */
public fun <T> settingsOrExit(
    program: String,
    arguments: CommonArguments,
    deserializer: DeserializationStrategy<T>,
): T {
    val file = arguments.settingsFile ?: exitWithError(program, "--settings FILE is required")
    val settings = loadSettings(Path.of(file), deserializer).getOrElse { exitWithError(program, it.toString()) }
    if (arguments.isCheckOnly) {
        println("$file: the settings are valid")
        exitProcess(0)
    }
    return settings
}

/** Prints [message] for the user of [program] and ends the process with [EXIT_USAGE]. */
public fun exitWithError(program: String, message: String): Nothing {
    System.err.println("$program: $message")
    exitProcess(EXIT_USAGE)
}
