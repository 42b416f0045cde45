package org.banyanturn.entry

import ch.qos.logback.classic.Logger
import ch.qos.logback.classic.spi.ILoggingEvent
import ch.qos.logback.core.AppenderBase
import org.banyanturn.daemon.logs.Event
import org.slf4j.LoggerFactory
import java.util.concurrent.ConcurrentLinkedQueue

/** Captures the log lines of the entry VMs in this process until it is closed. */
internal class CapturedLogLines : AutoCloseable {
    private val lines = ConcurrentLinkedQueue<String>()
    private val logger = LoggerFactory.getLogger("org.banyanturn.entry") as Logger
    private val appender = object : AppenderBase<ILoggingEvent>() {
        override fun append(event: ILoggingEvent) {
            lines += event.formattedMessage
        }
    }

    init {
        appender.start()
        logger.addAppender(appender)
    }

    /** Returns whether a line of [event] with [text] was logged. */
    fun has(event: Event, text: String): Boolean = lines.any { it.startsWith("BT${event.number} ") && text in it }

    override fun close() {
        logger.detachAppender(appender)
        appender.stop()
    }
}
