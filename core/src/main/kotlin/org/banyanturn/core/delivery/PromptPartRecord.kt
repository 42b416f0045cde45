package org.banyanturn.core.delivery

import kotlinx.collections.immutable.toPersistentMap
import kotlinx.serialization.SerialName
import kotlinx.serialization.Serializable
import kotlinx.serialization.SerializationException
import kotlinx.serialization.json.Json
import org.banyanturn.core.TargetId
import org.banyanturn.core.isIdentifier

/** A message in which a VM tells the others what it knows of parts of prompts that may crash targets. */
@Serializable
public sealed interface PromptPartRecord {
    /** The parts that the record is about. */
    public val partIds: List<String>

    /** Reports that a target crashed under a request with these parts. */
    @Serializable
    @SerialName("part_suspected")
    public data class Suspected(
        val targetId: String,
        val bornEpochMillis: Long? = null,
        override val partIds: List<String>,
    ) : PromptPartRecord

    /** Reports that answers to requests with these parts have gone on after they began, or were complete. */
    @Serializable
    @SerialName("part_completed")
    public data class Completed(override val partIds: List<String>) : PromptPartRecord

    /**
     * Reports that the sender refuses requests with these parts.
     *
     * @property verdicts what the sender knows of each part; empty if it runs an older version of the program.
     */
    @Serializable
    @SerialName("part_blocked")
    public data class Blocked(
        override val partIds: List<String>,
        val verdicts: List<PartVerdictMessage> = emptyList(),
    ) : PromptPartRecord

    /** Reports that the sender has just sent a request with these blocked parts as a probe. */
    @Serializable
    @SerialName("part_probed")
    public data class Probed(override val partIds: List<String>) : PromptPartRecord
}

/** Represents a [PartVerdict] between VMs. */
@Serializable
public data class PartVerdictMessage(
    val partId: String,
    val lives: List<TargetLifeMessage> = emptyList(),
    val crashes: Int = 0,
    val ageMillis: Long = 0,
    val failedProbes: Int = 0,
)

/** Represents the crash [number] of an incarnation of a target between VMs. */
@Serializable
public data class TargetLifeMessage(val targetId: String, val bornEpochMillis: Long? = null, val number: Int = 1)

/** Most incarnations of targets that a verdict names, so that it fits into a datagram. */
private const val MAX_VERDICT_LIVES = 8

/** Returns the record that reports these verdicts. */
public fun List<PartVerdict>.toBlockedRecord(): PromptPartRecord.Blocked =
    PromptPartRecord.Blocked(map { it.part.value }, map(PartVerdict::toMessage))

private fun PartVerdict.toMessage(): PartVerdictMessage =
    PartVerdictMessage(
        partId = part.value,
        lives = lives.entries
            .sortedBy { it.value }
            .takeLast(MAX_VERDICT_LIVES)
            .map { (life, number) -> TargetLifeMessage(life.targetId.value, life.bornEpochMillis, number) },
        crashes = crashes,
        ageMillis = ageMillis,
        failedProbes = failedProbes,
    )

/** Returns the verdicts of this record; incarnations of targets whose id is malformed are left out. */
public fun PromptPartRecord.Blocked.toVerdicts(): List<PartVerdict> =
    verdicts.map(PartVerdictMessage::toVerdict).ifEmpty { partIds.map { PartVerdict(PromptPartId(it)) } }

private fun PartVerdictMessage.toVerdict(): PartVerdict =
    PartVerdict(
        part = PromptPartId(partId),
        lives = lives
            .filter { isIdentifier(it.targetId) }
            .associate { TargetLife(TargetId(it.targetId), it.bornEpochMillis) to it.number }
            .toPersistentMap(),
        crashes = crashes,
        ageMillis = ageMillis.coerceAtLeast(0),
        failedProbes = failedProbes.coerceAtLeast(0),
    )

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
