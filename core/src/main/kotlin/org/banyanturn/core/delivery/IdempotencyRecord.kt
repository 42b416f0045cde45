package org.banyanturn.core.delivery

import kotlinx.serialization.SerialName
import kotlinx.serialization.Serializable
import kotlinx.serialization.SerializationException
import kotlinx.serialization.json.Json
import org.banyanturn.core.Incarnation
import org.banyanturn.core.MemberId
import java.security.MessageDigest

/** The value of an `Idempotency-Key` header, scoped to its member. */
@Serializable
public data class IdempotencyKey(val memberId: MemberId, val value: String) {
    init {
        require(value.length in 1..MAX_KEY_LENGTH) { "an idempotency key must have 1 to $MAX_KEY_LENGTH characters" }
    }

    /** Holds the limits of a key. */
    public companion object {
        /** Maximum number of characters in a key. */
        public const val MAX_KEY_LENGTH: Int = 255
    }
}

/** A digest of a request that identifies repetitions of it. */
@Serializable
@JvmInline
public value class RequestFingerprint(public val value: String) {
    override fun toString(): String = value
}

/** Returns the fingerprint of a request: the SHA-256 digest of its method, path and body in hexadecimal digits. */
public fun requestFingerprint(method: String, path: String, body: ByteArray): RequestFingerprint {
    val digest = MessageDigest.getInstance("SHA-256")
    digest.update("$method $path\n".encodeToByteArray())
    digest.update(body)
    return RequestFingerprint(digest.digest().joinToString("") { "%02x".format(it) })
}

/**
 * A target's answer as it is stored for repeated requests.
 *
 * @property body the answer's body, or `null` if it was too large to be stored.
 * @property bodyDigest digest of the body.
 */
@Serializable
public data class StoredOutcome(
    val statusCode: Int,
    val body: String?,
    val bodyDigest: String,
    val contentType: String? = null,
)

/** Maximum length, in characters, of a body that is stored for repeated requests. */
public const val MAX_STORED_BODY_CHARACTERS: Int = 4_096

/** Returns this answer as it is recorded: without its body if that exceeds [MAX_STORED_BODY_CHARACTERS]. */
public fun StoredOutcome.withoutLargeBody(): StoredOutcome =
    if ((body?.length ?: 0) > MAX_STORED_BODY_CHARACTERS) copy(body = null) else this

/** How a request with an idempotency key ended. */
@Serializable
public sealed interface OutcomeResult {
    /** A target ran the request and returned this answer. */
    @Serializable
    @SerialName("answered")
    public data class Answered(val outcome: StoredOutcome) : OutcomeResult

    /** A target ran the request, but its answer is incomplete. */
    @Serializable
    @SerialName("answer-lost")
    public data object AnswerLost : OutcomeResult

    /** No target ran the request; the key is released. */
    @Serializable
    @SerialName("not-run")
    public data object NotRun : OutcomeResult
}

/** A record of an idempotency stream. */
@Serializable
public sealed interface IdempotencyRecord {
    /** The key that the record refers to. */
    public val key: IdempotencyKey

    /** The request that the record refers to; a repetition by the caller has a different id. */
    public val requestId: RequestId

    /** Reserves the key for a request, before any byte of the request is sent to a target. */
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
 * A batch of records that is appended to the platform's log as one record.
 *
 * @property writtenAtEpochMillis the writer's wall clock time.
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

/** Returns the batch in [payload], or `null` if the record is malformed or of an unknown kind. */
public fun decodeIdempotencyBatchOrNull(payload: String): IdempotencyBatch? =
    try {
        idempotencyJson.decodeFromString(IdempotencyBatch.serializer(), payload)
    } catch (_: SerializationException) {
        null
    } catch (_: IllegalArgumentException) {
        null
    }

/** Returns the index of this key's shard among [shardCount] shards; the same on every VM. */
public fun IdempotencyKey.shardOf(shardCount: Int): Int {
    require(shardCount > 0) { "shardCount must be positive, was $shardCount" }
    return Math.floorMod("$memberId\n$value".hashCode(), shardCount)
}

/** Returns the name of the stream of [shard] in the platform's log. */
public fun idempotencyStream(shard: Int): String = "idempotency-$shard"
