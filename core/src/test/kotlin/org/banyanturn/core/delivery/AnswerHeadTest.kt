package org.banyanturn.core.delivery

import io.kotest.common.ExperimentalKotest
import io.kotest.property.Arb
import io.kotest.property.PropTestConfig
import io.kotest.property.arbitrary.bind
import io.kotest.property.arbitrary.element
import io.kotest.property.arbitrary.int
import io.kotest.property.arbitrary.list
import io.kotest.property.checkAll
import kotlinx.coroutines.test.runTest
import org.junit.jupiter.api.Assertions.assertEquals
import org.junit.jupiter.api.Assertions.assertNotNull
import org.junit.jupiter.api.Assertions.assertNull
import org.junit.jupiter.api.Test

/** Guards against a head that is read from the bytes of two answers. */
@OptIn(ExperimentalKotest::class)
class AnswerHeadTest {
    private fun head(vararg fields: Pair<String, String>, statusCode: Int = 200, reason: String = "OK") =
        AnswerHead(statusCode, reason, fields.map { AnswerField(it.first, it.second) })

    private fun AnswerHead.fault() = faultOrNull(SINGLE_FIELDS)

    /** Returns the head that a lenient parser reads from [text], or `null` if it finds none. */
    private fun parseOrNull(text: String): AnswerHead? {
        val lines = text.substringBefore(END_OF_HEAD).replace(FOLD, " ").split(NEWLINE)
        val start = START.matchEntire(lines.first()) ?: return null
        val fields = lines.drop(1).map { FIELD.matchEntire(it) ?: return null }
        return AnswerHead(
            start.groupValues[1].toInt(),
            start.groupValues[2],
            fields.map { AnswerField(it.groupValues[1], it.groupValues[2].trim()) },
        )
    }

    private fun textOf(statusCode: Int, fields: List<String>): String =
        "HTTP/1.1 $statusCode Any reason$NEWLINE" + fields.joinToString("") { it + NEWLINE } + NEWLINE

    private val anyText =
        Arb.bind(Arb.element(100, 200, 204, 404, 429, 500, 503), Arb.list(Arb.element(FIELD_LINES), 0..4), ::textOf)

    @Test
    fun `a head that begins in one answer and ends in another is a fault, wherever the first is cut`() = runTest {
        checkAll(PropTestConfig(seed = SEED), anyText, anyText) { first, second ->
            assertNull(parseOrNull(second)?.fault(), second)
            val whole = parseOrNull(first)
            for (length in 1 until first.length) {
                val joined = parseOrNull(first.take(length) + second) ?: continue
                if (joined != whole) assertNotNull(joined.fault(), first.take(length) + second)
            }
        }
    }

    @Test
    fun `junk before a status line is never the head of an answer`() = runTest {
        val second = textOf(500, FIELD_LINES)
        checkAll(PropTestConfig(seed = SEED), Arb.list(Arb.int(' '.code..'~'.code), 1..8)) { junk ->
            val joined = parseOrNull(junk.joinToString("") { it.toChar().toString() } + second)
            if (joined != null && joined != parseOrNull(second)) assertNotNull(joined.fault(), "$junk")
        }
    }

    @Test
    fun `a status line in the reason or in a field is a fault`() {
        assertEquals(AnswerHeadFault.JOINED, head(reason = "HTTP/1.1 500 Internal Server Error").fault())
        assertEquals(AnswerHeadFault.JOINED, head("Date" to "HTTP/1.1 500 Internal Server Error").fault())
        assertEquals(AnswerHeadFault.JOINED, head("Date" to "Mon, 0HTTP/1.0 204").fault())
    }

    @Test
    fun `a field that names a protocol is no fault`() {
        assertNull(head("Via" to "HTTP/1.1 192.168.0.1:80", "Upgrade" to "HTTP/2.0, h2c").fault())
        assertNull(head(reason = "").fault())
    }

    @Test
    fun `an id, a signature or an end that is stated twice is a fault`() {
        val doubled = listOf("attempt-id", "server-seal", "content-length", "transfer-encoding")
        doubled.forEach {
            assertEquals(AnswerHeadFault.REPEATED_FIELD, head(it to "1", it.uppercase() to "2").fault(), it)
        }
        assertNull(head("set-cookie" to "1", "set-cookie" to "2").fault())
    }

    @Test
    fun `a length beside chunks is a fault`() {
        val head = head("Content-Length" to "4", "Transfer-Encoding" to "chunked")
        assertEquals(AnswerHeadFault.AMBIGUOUS_END, head.fault())
    }

    @Test
    fun `a change of protocol that nobody asked for is a fault`() {
        assertEquals(AnswerHeadFault.PROTOCOL_CHANGED, head(statusCode = 101).fault())
    }

    @Test
    fun `a status outside of the defined classes is a fault, and an empty reason is none`() {
        listOf(0, 1, 99, 600, 999).forEach {
            assertEquals(AnswerHeadFault.INVALID_STATUS, head(statusCode = it).fault(), "$it")
        }
        listOf(100, 103, 200, 299, 404, 451, 500, 599).forEach {
            assertNull(head(statusCode = it, reason = "").fault(), "$it")
        }
    }

    private companion object {
        const val SEED = 44L
        const val NEWLINE = "\r\n"
        const val END_OF_HEAD = "\r\n\r\n"
        val SINGLE_FIELDS = setOf("attempt-id", "server-seal")
        val FIELD_LINES = listOf("Date: Mon, 1 Jan", "Server: x", "Keep-Alive: timeout=10", "Instance-Load: 1,0,6")
        val FOLD = Regex("""\r\n[ \t]+""")
        val START = Regex("""\s*HTTP/\d\.\d +(\d{3})(.*)""")
        val FIELD = Regex("""([!#$%&'*+.^_`|~0-9A-Za-z-]+)[ \t]*:(.*)""")
    }
}
