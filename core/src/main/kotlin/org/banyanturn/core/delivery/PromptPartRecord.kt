package org.banyanturn.core.delivery

import kotlinx.serialization.SerialName
import kotlinx.serialization.Serializable
import kotlinx.serialization.SerializationException
import kotlinx.serialization.json.Json

/** A message in which a VM tells the others what it knows of parts of prompts that may crash targets. */
@Serializable
public sealed interface PromptPartRecord {
    /** The parts that the record is about. */
    public val partIds: List<String>

    /** Reports that a target crashed under a request with these parts, none of them known from a complete answer. */
    @Serializable
    @SerialName("part_suspected")
    public data class Suspected(
        val targetId: String,
        val bornEpochMillis: Long? = null,
        override val partIds: List<String>,
    ) : PromptPartRecord

    /** Reports that answers to requests with these parts were complete. */
    @Serializable
    @SerialName("part_completed")
    public data class Completed(override val partIds: List<String>) : PromptPartRecord

    /** Reports that the sender refuses requests with these parts. */
    @Serializable
    @SerialName("part_blocked")
    public data class Blocked(override val partIds: List<String>) : PromptPartRecord
}

private val promptPartJson = Json { ignoreUnknownKeys = true }

/** Returns this record as one line of JSON. */
public fun PromptPartRecord.encodeToPayload(): String =
    promptPartJson.encodeToString(PromptPartRecord.serializer(), this)

/** Returns the record in [payload], or `null` if it is malformed or of an unknown kind. */
public fun decodePromptPartRecordOrNull(payload: String): PromptPartRecord? =
    try {
        promptPartJson.decodeFromString(PromptPartRecord.serializer(), payload)
    } catch (_: SerializationException) {
        null
    } catch (_: IllegalArgumentException) {
        null
    }
