package org.banyanturn.entry

import com.github.michaelbull.result.getOrElse
import org.banyanturn.daemon.exitWithError
import org.banyanturn.platform.hosted.BOOT_FILE_VARIABLE
import org.banyanturn.platform.hosted.VmBoot
import org.banyanturn.platform.hosted.parseVmBoot
import java.io.IOException
import java.nio.file.Files
import java.nio.file.Path
import kotlin.system.exitProcess

internal const val PROGRAM = "banyanturn-entry"

/** Runs the process of an entry VM with the command line [arguments]. */
public fun main(arguments: Array<String>) {
    val parsed = EntryArguments.parse(arguments)
    val boot = readBoot(parsed.bootFile)
    if (parsed.isCheckOnly) {
        println("${parsed.bootFile}: the settings are valid")
        exitProcess(0)
    }
    EntryProcess(boot).run()
    exitProcess(0)
}

/** Returns the settings in [file]; exits with code 2 if they can't be read or are invalid. */
private fun readBoot(file: String?): VmBoot {
    if (file == null) exitWithError(PROGRAM, "--settings FILE or the variable $BOOT_FILE_VARIABLE is required")
    val text = try {
        Files.readString(Path.of(file))
    } catch (error: IOException) {
        exitWithError(PROGRAM, "$file can't be read: ${error.message}")
    }
    return parseVmBoot(text).getOrElse { exitWithError(PROGRAM, "$file: $it") }
}
