package org.banyanturn.entry

import org.banyanturn.daemon.CommonArguments
import org.banyanturn.daemon.parseArguments
import org.banyanturn.platform.hosted.BOOT_FILE_VARIABLE

/** The command line of this program; without options the platform's variable names the settings file. */
internal class EntryArguments private constructor(val bootFile: String?, val isCheckOnly: Boolean) {
    internal companion object {
        fun parse(arguments: Array<String>): EntryArguments {
            val fromPlatform = System.getenv(BOOT_FILE_VARIABLE)
            if (arguments.isEmpty()) return EntryArguments(fromPlatform, isCheckOnly = false)
            val parsed = parseArguments(PROGRAM, arguments, CommonArguments())
            return EntryArguments(parsed.settingsFile ?: fromPlatform, parsed.isCheckOnly)
        }
    }
}
