package org.banyanturn.daemon.logs

import org.banyanturn.daemon.settings.LogSettings

/** Sets the format of log lines. Must be called before the first line is logged: the logger reads it only once. */
public fun configureLogs(settings: LogSettings) {
    System.setProperty("banyanturn.log.appender", settings.format.name)
}
