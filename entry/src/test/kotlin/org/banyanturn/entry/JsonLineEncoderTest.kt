package org.banyanturn.entry

import ch.qos.logback.classic.LoggerContext
import ch.qos.logback.classic.spi.ILoggingEvent
import ch.qos.logback.core.read.ListAppender
import io.github.oshai.kotlinlogging.KotlinLogging
import kotlinx.serialization.json.Json
import kotlinx.serialization.json.jsonObject
import kotlinx.serialization.json.jsonPrimitive
import org.banyanturn.daemon.logs.Event
import org.banyanturn.daemon.logs.event
import org.banyanturn.daemon.logs.field
import org.banyanturn.entry.observe.JsonLineEncoder
import org.junit.jupiter.api.Assertions.assertEquals
import org.junit.jupiter.api.Assertions.assertTrue
import org.junit.jupiter.api.Test
import org.slf4j.LoggerFactory

class JsonLineEncoderTest {
    private val logger = KotlinLogging.logger("test.encoder")
    private val events = ListAppender<ILoggingEvent>().also {
        it.start()
        (LoggerFactory.getILoggerFactory() as LoggerContext).getLogger("test.encoder").addAppender(it)
    }

    @Test
    fun `an event is one line of JSON with its number and fields`() {
        logger.event(Event.CATALOG_ADOPTED, field("source", "a \"quoted\"\nname"), field("version", 7))
        val line = JsonLineEncoder().encode(events.list.single()).decodeToString()
        assertEquals(1, line.count { it == '\n' })
        val fields = Json.parseToJsonElement(line).jsonObject.mapValues { it.value.jsonPrimitive.content }
        assertEquals("a \"quoted\"\nname", fields["source"])
        assertEquals("7", fields["version"])
        assertEquals("1110", fields["event"])
        assertEquals("INFO", fields["level"])
        assertTrue(fields.getValue("message").startsWith("BT1110 "))
    }

    @Test
    fun `the cause of a failure is on its line`() {
        logger.event(Event.REQUEST_FAILED, field("work", "tick"), cause = IllegalStateException("boom"))
        val line = JsonLineEncoder().encode(events.list.single()).decodeToString()
        val trace = Json.parseToJsonElement(line).jsonObject.getValue("stack_trace").jsonPrimitive.content
        assertTrue(trace.startsWith("java.lang.IllegalStateException: boom"))
    }
}
