package org.banyanturn.daemon

import com.github.michaelbull.result.getOrElse
import kotlinx.serialization.DeserializationStrategy
import org.banyanturn.daemon.settings.loadSettings
import org.kohsuke.args4j.CmdLineException
import org.kohsuke.args4j.CmdLineParser
import org.kohsuke.args4j.Option
import java.nio.file.Path
import kotlin.system.exitProcess

/** Exit code for an invalid command line or invalid settings. */
public const val EXIT_USAGE: Int = 2

/** Represents the command line options common to all binaries; binaries with additional options extend this class. */
public open class CommonArguments {
    /** Path of the settings file. */
    @Option(name = "--settings", metaVar = "FILE", usage = "read the settings from this YAML file")
    public var settingsFile: String? = null

    /** Whether to validate the settings, print the first error, if any, and exit. */
    @Option(name = "--check", usage = "validate the settings, print the error if any, and exit")
    public var isCheckOnly: Boolean = false

    /** Whether to print the version and exit. */
    @Option(name = "--version", usage = "print the version and exit")
    public var isVersionRequested: Boolean = false

    /** Whether to print the options and exit. */
    @Option(name = "--help", aliases = ["-h"], usage = "print this help and exit")
    public var isHelpRequested: Boolean = false
}

/**
 * Parses the command line [arguments] into [target] and returns it.
 *
 * Exits the process after `--help` and `--version`, and with [EXIT_USAGE] if the command line is invalid.
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
 * Returns the settings from the file given by [CommonArguments.settingsFile].
 *
 * Exits the process after `--check`, and with [EXIT_USAGE] if no file is given, or if it is unreadable or invalid.
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

/** Prints [message], prefixed with the name of [program], to standard error and exits with [EXIT_USAGE]. */
public fun exitWithError(program: String, message: String): Nothing {
    System.err.println("$program: $message")
    exitProcess(EXIT_USAGE)
}
