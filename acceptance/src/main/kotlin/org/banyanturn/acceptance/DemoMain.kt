package org.banyanturn.acceptance

import org.banyanturn.daemon.CommonArguments
import org.banyanturn.daemon.parseArguments
import org.kohsuke.args4j.Option
import java.nio.file.Files
import java.nio.file.Path
import kotlin.system.exitProcess

private const val PROGRAM = "demo"

private class DemoArguments : CommonArguments() {
    @Option(name = "--keep", usage = "leave the processes running until this one is interrupted")
    var isKept: Boolean = false

    @Option(name = "--directory", metaVar = "DIR", usage = "where settings and logs go (default: a new directory)")
    var directory: String? = null
}

/** Runs the demonstration and ends with 0 only if all its checks hold. */
public fun main(arguments: Array<String>) {
    val options = parseArguments(PROGRAM, arguments, DemoArguments())
    val directory = options.directory?.let(Path::of) ?: Files.createTempDirectory("banyanturn-demo")
    val fleet = LocalFleet(directory)
    Runtime.getRuntime().addShutdownHook(Thread(fleet::close))
    val demo = Demo(fleet)
    val hasPassed = try {
        demo.run()
    } catch (error: IllegalStateException) {
        println("the demonstration could not go on: ${error.message} FAILED")
        false
    }
    println("settings and logs: $directory")
    if (options.isKept && hasPassed) {
        demo.printInvitation()
        Thread.currentThread().join()
    }
    fleet.stop()
    exitProcess(if (hasPassed) 0 else 1)
}
