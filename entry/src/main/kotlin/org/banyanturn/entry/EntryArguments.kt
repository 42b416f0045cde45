package org.banyanturn.entry

import org.banyanturn.daemon.CommonArguments
import org.banyanturn.daemon.parseArguments
import org.banyanturn.platform.hosted.BOOT_FILE_VARIABLE

/**
 * Represents the command line of this program.
 *
 * @property bootFile the settings file; by default the one that the environment variable [BOOT_FILE_VARIABLE] names.
 * @property isCheckOnly whether to validate the settings and exit.
 */
internal class EntryArguments private constructor(val bootFile: String?, val isCheckOnly: Boolean) {
    internal companion object {
        /** Returns the parsed [arguments]. */
        fun parse(arguments: Array<String>): EntryArguments {
            val fileFromEnvironment = System.getenv(BOOT_FILE_VARIABLE)
            if (arguments.isEmpty()) return EntryArguments(fileFromEnvironment, isCheckOnly = false)
            val parsed = parseArguments(PROGRAM, arguments, CommonArguments())
            return EntryArguments(parsed.settingsFile ?: fileFromEnvironment, parsed.isCheckOnly)
        }
    }
}
