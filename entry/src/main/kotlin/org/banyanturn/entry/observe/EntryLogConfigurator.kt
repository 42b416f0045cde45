package org.banyanturn.entry.observe

import ch.qos.logback.classic.AsyncAppender
import ch.qos.logback.classic.Level
import ch.qos.logback.classic.LoggerContext
import ch.qos.logback.classic.spi.Configurator
import ch.qos.logback.classic.spi.ILoggingEvent
import ch.qos.logback.core.ConsoleAppender
import ch.qos.logback.core.spi.ContextAwareBase
import org.slf4j.Logger

/** Capacity of the log queue in lines; further lines are dropped, so that a full pipe doesn't block the process. */
private const val QUEUED_LINES = 2_048

/** Loggers of libraries that log warnings and errors only. */
private val QUIET_LOGGERS = listOf("io.netty", "io.ktor", "io.grpc")

/**
 * Configures logging without a configuration file: JSON lines on standard output, written by a separate thread.
 *
 * Reading the configuration file that the other programs share takes as long as the rest of this program's startup.
 */
internal class EntryLogConfigurator : ContextAwareBase(), Configurator {
    override fun configure(context: LoggerContext): Configurator.ExecutionStatus {
        QUIET_LOGGERS.forEach { context.getLogger(it).level = Level.WARN }
        val root = context.getLogger(Logger.ROOT_LOGGER_NAME)
        root.level = Level.INFO
        root.addAppender(asyncAppender(context))
        return Configurator.ExecutionStatus.DO_NOT_INVOKE_NEXT_IF_ANY
    }

    private fun asyncAppender(loggers: LoggerContext): AsyncAppender =
        AsyncAppender().apply {
            context = loggers
            name = "stdout"
            queueSize = QUEUED_LINES
            discardingThreshold = 0
            isNeverBlock = true
            addAppender(consoleAppender(loggers))
            start()
        }

    private fun consoleAppender(loggers: LoggerContext): ConsoleAppender<ILoggingEvent> =
        ConsoleAppender<ILoggingEvent>().apply {
            context = loggers
            name = "json"
            encoder = JsonLineEncoder().also {
                it.context = loggers
                it.start()
            }
            start()
        }
}
