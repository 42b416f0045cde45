package org.banyanturn.entry.observe

import ch.qos.logback.classic.spi.ILoggingEvent
import ch.qos.logback.classic.spi.ThrowableProxyUtil
import ch.qos.logback.core.encoder.EncoderBase
import kotlinx.serialization.json.JsonPrimitive
import java.time.Instant

/**
 * Encodes each log event as a JSON object on one line.
 *
 * The field names are those of the logstash encoder, which the other programs use.
 */
internal class JsonLineEncoder : EncoderBase<ILoggingEvent>() {
    override fun headerBytes(): ByteArray = ByteArray(0)

    override fun footerBytes(): ByteArray = ByteArray(0)

    override fun encode(event: ILoggingEvent): ByteArray {
        val line = StringBuilder(LINE_CHARS)
        line.append("{\"@timestamp\":\"").append(Instant.ofEpochMilli(event.timeStamp)).append('"')
        line.appendField("message", event.formattedMessage)
        line.appendField("logger_name", event.loggerName)
        line.appendField("thread_name", event.threadName)
        line.appendField("level", event.level.toString())
        event.keyValuePairs.orEmpty().forEach { line.appendField(it.key, it.value) }
        event.throwableProxy?.let { line.appendField("stack_trace", ThrowableProxyUtil.asString(it)) }
        return line.append("}\n").toString().encodeToByteArray()
    }

    private fun StringBuilder.appendField(name: String, value: Any?) {
        append(",\"").append(name).append("\":")
        append(if (value is Number) JsonPrimitive(value) else JsonPrimitive(value?.toString()))
    }

    private companion object {
        const val LINE_CHARS = 512
    }
}
