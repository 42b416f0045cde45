package org.banyanturn.core.delivery

import kotlinx.serialization.SerialName
import kotlinx.serialization.Serializable
import kotlinx.serialization.SerializationException
import kotlinx.serialization.json.Json
import org.banyanturn.core.Incarnation
import org.banyanturn.core.MemberId
import java.security.MessageDigest

/** An `Idempotency-Key`, which counts within its member only. */
@Serializable
public data class IdempotencyKey(val memberId: MemberId, val value: String) {
    init {
        require(value.length in 1..MAX_KEY_LENGTH) { "an idempotency key has 1 to $MAX_KEY_LENGTH characters" }
    }

    /** The longest key that is taken. */
    public companion object {
        /** Most characters of a key. */
        public const val MAX_KEY_LENGTH: Int = 255
    }
}

/** Returns the digest by which a repeated request is recognised. */
@Serializable
@JvmInline
public value class RequestFingerprint(public val value: String) {
    override fun toString(): String = value
}

/** Returns the fingerprint of a request: a SHA-256 digest over method, path and body, as hexadecimal digits. */
public fun requestFingerprint(method: String, path: String, body: ByteArray): RequestFingerprint {
    val digest = MessageDigest.getInstance("SHA-256")
    digest.update("$method $path\n".encodeToByteArray())
    digest.update(body)
    return RequestFingerprint(digest.digest().joinToString("") { "%02x".format(it) })
}

/**
 * A target's answer as it is kept for repeats.
 *
 * @property body the answer's body, or `null` if it was too large to be kept.
 * @property bodyDigest digest of the body.
 */
@Serializable
public data class StoredOutcome(
    val statusCode: Int,
    val body: String?,
    val bodyDigest: String,
    val contentType: String? = null,
)

/** The largest body, in characters, that is kept for repeats. */
public const val MAX_STORED_BODY_CHARACTERS: Int = 4_096

/** Returns this answer as it is recorded: without its body if that is larger than [MAX_STORED_BODY_CHARACTERS]. */
public fun StoredOutcome.withoutLargeBody(): StoredOutcome =
    if ((body?.length ?: 0) > MAX_STORED_BODY_CHARACTERS) copy(body = null) else this

/** How a request with an idempotency key ended. */
@Serializable
public sealed interface OutcomeResult {
    /** A target ran it and gave this answer. */
    @Serializable
    @SerialName("answered")
    public data class Answered(val outcome: StoredOutcome) : OutcomeResult

    /** A target ran it, but its answer was cut. */
    @Serializable
    @SerialName("answer-lost")
    public data object AnswerLost : OutcomeResult

    /** No target saw it: the key is free again. */
    @Serializable
    @SerialName("not-run")
    public data object NotRun : OutcomeResult
}

/** A record of an idempotency stream. */
@Serializable
public sealed interface IdempotencyRecord {
    /** The key that the record is about. */
    public val key: IdempotencyKey

    /** The request that the record is about; a repeat of it by its caller has another id. */
    public val requestId: RequestId

    /** Reserves the key for a request, before a target sees a byte of it. */
    @Serializable
    @SerialName("reserve")
    public data class Reserve(
        override val key: IdempotencyKey,
        override val requestId: RequestId,
        val fingerprint: RequestFingerprint,
        val incarnation: Incarnation,
    ) : IdempotencyRecord

    /** Records how the request that holds the key ended. */
    @Serializable
    @SerialName("outcome")
    public data class Outcome(
        override val key: IdempotencyKey,
        override val requestId: RequestId,
        val result: OutcomeResult,
    ) : IdempotencyRecord
}

/**
 * A batch of records, which is appended as one record of the platform's log.
 *
 * @property writtenAtEpochMillis the writer's wall clock.
 */
@Serializable
public data class IdempotencyBatch(
    val incarnation: Incarnation,
    val writtenAtEpochMillis: Long,
    val records: List<IdempotencyRecord>,
)

private val idempotencyJson = Json {
    ignoreUnknownKeys = true
    encodeDefaults = false
}

/** Returns the payload of this batch for the log: one line of JSON. */
public fun IdempotencyBatch.encodeToPayload(): String =
    idempotencyJson.encodeToString(IdempotencyBatch.serializer(), this)

/** Returns the batch in [payload], or `null` if the record is broken or of an unknown kind. */
public fun decodeIdempotencyBatchOrNull(payload: String): IdempotencyBatch? =
    try {
        idempotencyJson.decodeFromString(IdempotencyBatch.serializer(), payload)
    } catch (_: SerializationException) {
        null
    } catch (_: IllegalArgumentException) {
        null
    }

/** Returns the number of this key's shard, of [shardCount]; the same on every VM. */
public fun IdempotencyKey.shardOf(shardCount: Int): Int {
    require(shardCount > 0) { "shardCount is positive, got $shardCount" }
    return Math.floorMod("$memberId\n$value".hashCode(), shardCount)
}

/** Returns the name of the stream of [shard] in the platform's log. */
public fun idempotencyStream(shard: Int): String = "idempotency-$shard"
