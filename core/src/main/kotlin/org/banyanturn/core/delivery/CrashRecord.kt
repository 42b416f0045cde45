package org.banyanturn.core.delivery

import kotlinx.serialization.SerialName
import kotlinx.serialization.Serializable
import kotlinx.serialization.SerializationException
import kotlinx.serialization.json.Json
import org.banyanturn.core.Incarnation
import org.banyanturn.core.TargetId

/**
 * A request that was running on a target when the target crashed.
 *
 * @property hasAnswered whether the attempt had produced a part of its answer, which makes it a less likely cause.
 */
@Serializable
public data class CrashSuspect(val fingerprint: RequestFingerprint, val hasAnswered: Boolean)

/** A record of the stream in which the VMs share their observations of crashes. */
@Serializable
public sealed interface CrashRecord {
    /** Reports the requests that one VM had running on a target when the target crashed. */
    @Serializable
    @SerialName("crash")
    public data class TargetCrashed(
        val targetId: TargetId,
        val reporter: Incarnation,
        val atEpochMillis: Long,
        val suspects: List<CrashSuspect>,
    ) : CrashRecord

    /** Clears a suspect whose request was answered completely and therefore did not cause the crash. */
    @Serializable
    @SerialName("cleared")
    public data class SuspectCleared(val fingerprint: RequestFingerprint) : CrashRecord

    /** Releases a blocked fingerprint on behalf of an operator. */
    @Serializable
    @SerialName("released")
    public data class FingerprintReleased(val fingerprint: RequestFingerprint, val operator: String) : CrashRecord
}

/** The stream of [CrashRecord]s in the platform's log. */
public const val CRASH_STREAM: String = "crashes"

private val crashJson = Json {
    ignoreUnknownKeys = true
    encodeDefaults = false
}

/** Returns the payload of this record for the log: one line of JSON. */
public fun CrashRecord.encodeToPayload(): String = crashJson.encodeToString(CrashRecord.serializer(), this)

/** Returns the record in [payload], or `null` if it is malformed or of an unknown kind. */
public fun decodeCrashRecordOrNull(payload: String): CrashRecord? =
    try {
        crashJson.decodeFromString(CrashRecord.serializer(), payload)
    } catch (_: SerializationException) {
        null
    } catch (_: IllegalArgumentException) {
        null
    }
