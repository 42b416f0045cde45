package org.banyanturn.entry.http

import io.netty.buffer.ByteBuf
import io.netty.buffer.Unpooled
import io.netty.handler.codec.http.DefaultFullHttpRequest
import io.netty.handler.codec.http.FullHttpRequest
import io.netty.handler.codec.http.HttpMethod
import io.netty.handler.codec.http.HttpResponse
import io.netty.handler.codec.http.HttpVersion
import org.banyanturn.core.delivery.AnswerFraming
import java.util.concurrent.CountDownLatch
import java.util.concurrent.TimeUnit
import kotlin.random.Random

internal const val ATTEMPT_ID = "Attempt-Id"
internal const val SEAL = "Server-Seal"

private const val NO_CONTENT = 204
private const val MAX_BODY_CHARS = 40
private const val MAX_JUNK_CHARS = 24
private const val MAX_LINE_ENDS = 4
private const val HEX = 16

/** Id of an attempt that no tested connection carries. */
private const val FOREIGN_ID = "foreign"

private val REASONS = mapOf(
    100 to "Continue",
    101 to "Switching Protocols",
    103 to "Early Hints",
    200 to "OK",
    204 to "No Content",
    404 to "Not Found",
    429 to "Too Many Requests",
    500 to "Internal Server Error",
    503 to "Service Unavailable",
)
private val FINAL_STATUSES = listOf(200, 204, 404, 429, 500, 503)
private val REMAINDER_STATUSES = listOf(200, 500, 503)
private val INTERIM_STATUSES = listOf(100, 101, 103)
private val LINE_ENDS = listOf("\r", "\n", "\r\n")

/**
 * An answer that a target means for the attempt [id], or for none if that is `null`.
 *
 * @property head the bytes up to the empty line, which belongs to it.
 * @property text all bytes.
 */
internal class PlannedAnswer(
    val id: String?,
    val status: Int,
    val seal: String,
    val body: String,
    val head: String,
    content: String,
) {
    val text: String = head + content

    override fun toString(): String = "$status $seal '${escaped(body)}'"
}

/** Returns [text] with its line ends and other control characters readable. */
internal fun escaped(text: String): String =
    text.map { char ->
        when (char) {
            '\r' -> "\\r"
            '\n' -> "\\n"
            in ' '..'~' -> char.toString()
            else -> "\\x" + char.code.toString(HEX).padStart(2, '0')
        }
    }.joinToString("")

/** Makes answers and remainders of answers at [random]; no two answers have the same seal or body. */
internal class TargetBytes(private val random: Random) {
    private var answers = 0

    /** Returns an answer to [id] with any final status, in either framing. */
    fun answer(id: String): PlannedAnswer = answer(id, FINAL_STATUSES.random(random))

    /** Returns an answer to [id] with [status], in either framing unless [isChunked] names one. */
    fun answer(id: String?, status: Int, isChunked: Boolean = random.nextBoolean()): PlannedAnswer {
        val number = ++answers
        val inChunks = isChunked && status != NO_CONTENT
        val body = if (status == NO_CONTENT) "" else body(number, inChunks)
        val fields = listOfNotNull(
            id?.let { "$ATTEMPT_ID: $it" },
            "$SEAL: seal-$number",
            "Date: Sat, 05 Dec 2026 19:10:05 GMT",
            if (inChunks) "Transfer-Encoding: chunked" else "Content-Length: ${body.length}",
        ).shuffled(random)
        val content = if (inChunks) inChunks(body) else body
        return PlannedAnswer(id, status, "seal-$number", body, head(status, fields), content)
    }

    private fun head(status: Int, fields: List<String>): String =
        "HTTP/1.1 $status ${REASONS.getValue(status)}\r\n" + fields.joinToString("") { "$it\r\n" } + "\r\n"

    /** No body holds a head with the id of a due attempt, or without an id: such bytes can't be told from an answer. */
    private fun body(number: Int, inChunks: Boolean): String {
        val letters = "body-$number-" + text(MAX_BODY_CHARS) { ('a'..'z').random(random) }
        val hasHead = !inChunks && random.nextInt(4) == 0
        return if (hasHead) letters + head(200, listOf("$ATTEMPT_ID: $FOREIGN_ID", "Content-Length: 2")) else letters
    }

    private fun inChunks(body: String): String {
        val chunks = body.chunked(random.nextInt(1, body.length + 1))
        return chunks.joinToString("") { "${it.length.toString(HEX)}\r\n$it\r\n" } + "0\r\n\r\n"
    }

    private fun text(maxChars: Int, char: () -> Char): String =
        (1..random.nextInt(1, maxChars + 1)).map { char() }.joinToString("")

    /**
     * Returns bytes that belong to no due answer: an answer cut anywhere, junk or line ends.
     *
     * @param earlier answers that the connection has brought before.
     * @param isFirst whether no answer comes before the bytes on their connection. An answer without an id counts as
     * the due one there, so that a remainder without an id ends within its head.
     */
    fun remainder(earlier: List<PlannedAnswer>, isFirst: Boolean): String =
        when (random.nextInt(6)) {
            0 -> cut((earlier.ifEmpty { listOf(answer(FOREIGN_ID)) }).random(random).text)
            1 -> cut(answer(FOREIGN_ID, REMAINDER_STATUSES.random(random)).text)
            2 -> withoutId(isFirst)
            3 -> cut(interim())
            4 -> text(MAX_JUNK_CHARS) { Char(random.nextInt(256)) }
            else -> (0..random.nextInt(MAX_LINE_ENDS)).joinToString("") { LINE_ENDS.random(random) }
        }

    private fun withoutId(isFirst: Boolean): String {
        val answer = answer(null, REMAINDER_STATUSES.random(random))
        return if (isFirst) cut(answer.head.dropLast(1)) else cut(answer.text)
    }

    private fun interim(): String =
        head(INTERIM_STATUSES.random(random), listOf("Link: </style.css>; rel=preload").take(random.nextInt(2)))

    private fun cut(text: String): String = text.take(random.nextInt(1, text.length + 1))
}

/** Returns a request of the attempt with [id]. */
internal fun attemptRequest(id: String?): FullHttpRequest {
    val request = DefaultFullHttpRequest(HttpVersion.HTTP_1_1, HttpMethod.GET, "/open/1", Unpooled.EMPTY_BUFFER)
    if (id != null) request.headers().set(ATTEMPT_ID, id)
    return request
}

/** Records what an attempt is told that [due] is meant for; calls [onEnded] at each end. */
internal class RecordedAttempt(val due: PlannedAnswer, private val onEnded: () -> Unit = {}) : AttemptListener {
    private val ended = CountDownLatch(1)
    private val body = StringBuilder()
    private val heads = mutableListOf<String>()

    /** Number of times that the attempt was told of its end. */
    @Volatile
    var ends = 0
        private set

    /** Why the attempt failed, or `null` if it has not. */
    @Volatile
    var failure: AttemptFailure? = null
        private set

    /** Whether the attempt was told of parts of an answer after its end. */
    @Volatile
    var isToldAfterEnd = false
        private set

    val isEnded: Boolean
        get() = ends > 0

    /** The status, seal and body of a complete answer, or `null` if there is none. */
    val completed: String?
        get() = if (isEnded && failure == null) "${heads.joinToString()} '${escaped(body.toString())}'" else null

    /** Whether the attempt has a complete answer that is not exactly [due]. */
    val isMixed: Boolean
        get() = completed.let { it != null && it != due.toString() }

    override fun onHead(response: HttpResponse) {
        noteCall()
        heads += "${response.status().code()} ${response.headers().getAll(SEAL).joinToString()}"
    }

    override fun onBody(content: ByteBuf) {
        noteCall()
        body.append(content.toString(Charsets.ISO_8859_1))
    }

    override fun onEnd(framing: AnswerFraming) = end()

    override fun onFailure(failure: AttemptFailure) {
        this.failure = failure
        end()
    }

    private fun noteCall() {
        isToldAfterEnd = isToldAfterEnd || isEnded
    }

    private fun end() {
        ends++
        ended.countDown()
        onEnded()
    }

    /** Waits for the end of the attempt and returns whether it came within [millis]. */
    fun awaitEnd(millis: Long): Boolean = ended.await(millis, TimeUnit.MILLISECONDS)

    override fun toString(): String = "wanted $due, got ${completed ?: failure ?: "no end"}"
}
