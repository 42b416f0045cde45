package org.banyanturn.acceptance

import java.nio.file.Path
import java.util.concurrent.TimeUnit
import kotlin.io.path.readLines
import kotlin.io.path.readText

private const val STOP_TIMEOUT_SECONDS = 30L

/** Lines that tell why a process did not become ready. */
private const val LAST_LINES = 60

/** A signal that a process gets. */
public enum class ProcessSignal {
    /** Asks the process to end. */
    TERM,

    /** Ends the process at once. */
    KILL,

    /** Pauses the process. */
    STOP,

    /** Lets a paused process go on. */
    CONT,
}

/**
 * A Java program of this project that runs as a process of its own.
 *
 * @property outputFile where its output and logs go.
 */
public class LocalProcess private constructor(
    public val name: String,
    private val process: Process,
    public val outputFile: Path,
) {
    /** Whether the process runs. */
    public val isAlive: Boolean get() = process.isAlive

    /** Sends [signal] to the process. */
    public fun signal(signal: ProcessSignal) {
        ProcessBuilder("kill", "-${signal.name}", process.pid().toString()).inheritIO().start().waitFor()
    }

    /** Returns the exit code once the process has ended, or `null` if it has not after [timeoutSeconds]. */
    public fun awaitExitOrNull(timeoutSeconds: Long = STOP_TIMEOUT_SECONDS): Int? =
        if (process.waitFor(timeoutSeconds, TimeUnit.SECONDS)) process.exitValue() else null

    /** Asks the process to end and ends it at once if it does not within the time for that. */
    public fun stop() {
        if (!process.isAlive) return
        signal(ProcessSignal.CONT)
        signal(ProcessSignal.TERM)
        if (awaitExitOrNull() == null) kill()
    }

    /** Ends the process at once. */
    public fun kill() {
        process.destroyForcibly().waitFor()
    }

    /** Returns what the process has printed. */
    public fun output(): String = outputFile.readText()

    /** Returns the last lines that the process has printed. */
    public fun lastOutput(): String = outputFile.readLines().takeLast(LAST_LINES).joinToString("\n")

    public companion object {
        /** Returns the started program [mainClass] with [arguments]; its output goes to a file in [directory]. */
        public fun start(name: String, mainClass: String, arguments: List<String>, directory: Path): LocalProcess {
            val outputFile = directory.resolve("$name.log")
            val process = ProcessBuilder(javaCommand(mainClass) + arguments)
                .redirectErrorStream(true)
                .redirectOutput(ProcessBuilder.Redirect.appendTo(outputFile.toFile()))
                .start()
            return LocalProcess(name, process, outputFile)
        }
    }
}

private const val CHILD_HEAP = "-Xmx192m"

/** Returns the command line that runs [mainClass] on the class path of this process. */
internal fun javaCommand(mainClass: String): List<String> {
    val java = Path.of(System.getProperty("java.home"), "bin", "java").toString()
    val classPath = System.getProperty("java.class.path")
    return listOf(java, CHILD_HEAP, "-XX:+UseSerialGC", "-XX:TieredStopAtLevel=4", "-cp", classPath, mainClass)
}
