package org.banyanturn.router.http

import com.github.michaelbull.result.Err
import com.github.michaelbull.result.Ok
import com.github.michaelbull.result.Result
import io.ktor.http.HttpHeaders
import io.ktor.server.application.ApplicationCall
import io.ktor.server.request.header
import io.ktor.server.request.receiveChannel
import io.ktor.utils.io.readBuffer
import kotlinx.io.readByteArray
import org.banyanturn.router.RequestSettings

/** Header by which a caller says how long it waits, in milliseconds. */
internal const val TIMEOUT_HEADER: String = "X-Timeout-Millis"

/** Header that makes repeats of a call recognisable. */
internal const val IDEMPOTENCY_KEY_HEADER: String = "Idempotency-Key"

private const val BEARER_PREFIX = "Bearer "

/** Returns the key in the `Authorization` header, or `null` if there is none. */
internal fun ApplicationCall.bearerKeyOrNull(): String? =
    request.header(HttpHeaders.Authorization)
        ?.takeIf { it.startsWith(BEARER_PREFIX, ignoreCase = true) }
        ?.drop(BEARER_PREFIX.length)
        ?.trim()

/** Returns the time that the caller gives this request in milliseconds, or the refusal of a bad header. */
internal fun ApplicationCall.timeoutMillis(settings: RequestSettings): Result<Long, Refusal> {
    val text = request.header(TIMEOUT_HEADER) ?: return Ok(settings.defaultTimeoutMillis)
    val millis = text.toLongOrNull()
    if (millis != null && millis in 1..settings.maxTimeoutMillis) return Ok(millis)
    val message = "$TIMEOUT_HEADER: expected a whole number from 1 to ${settings.maxTimeoutMillis}, got '$text'"
    return Err(Refusal(RefusalCode.INVALID_REQUEST, message, field = TIMEOUT_HEADER))
}

/** Returns the whole body of this call, or the refusal of one that is larger than the settings allow. */
internal suspend fun ApplicationCall.bodyBytes(settings: RequestSettings): Result<ByteArray, Refusal> {
    val bytes = receiveChannel().readBuffer(settings.maxBodyBytes + 1L).readByteArray()
    if (bytes.size <= settings.maxBodyBytes) return Ok(bytes)
    val message = "the body has more than ${settings.maxBodyBytes} bytes"
    return Err(Refusal(RefusalCode.BODY_TOO_LARGE, message, field = "body"))
}
