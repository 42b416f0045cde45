@file:OptIn(ExperimentalSerializationApi::class)

package org.banyanturn.entry.follow

import kotlinx.serialization.ExperimentalSerializationApi
import kotlinx.serialization.Serializable
import kotlinx.serialization.protobuf.ProtoNumber
import org.banyanturn.core.AdapterId
import org.banyanturn.core.ModelId
import org.banyanturn.core.TargetId
import org.banyanturn.core.ZoneId
import org.banyanturn.core.relay.ChangesSince
import org.banyanturn.core.relay.KeyChange
import org.banyanturn.core.serving.HeldModel
import org.banyanturn.core.serving.HostWeights
import org.banyanturn.core.serving.ServiceName
import org.banyanturn.core.serving.TargetEntry
import org.banyanturn.entry.decodeMessageOrNull
import org.banyanturn.entry.encodeMessage

/**
 * Represents the list of targets, or its changes, as one VM sends it to another.
 *
 * @property isForgotten whether the receiver must read the whole list, since the sender no longer has all removals.
 * @property ageMillis how long ago the platform's store is known to have held this list.
 * @property mayHaveLapsed whether missing entries may have expired because of an outage of the store.
 * @property catalogVersion the version of the sender's catalog, or -1 if it has none.
 * @property epoch the store's epoch, to which the offsets belong; 0 also from a VM of a version without epochs.
 * @property endOffset the offset at which the sender's own list ends, or `null` from a VM of such a version.
 * @property evacuations the evacuated zones, or `null` if the sender runs an older version or does not know them.
 */
@Serializable
internal class TargetFeedPage(
    @ProtoNumber(1) val isForgotten: Boolean = false,
    @ProtoNumber(2) val nextOffset: Long = 0,
    @ProtoNumber(3) val ageMillis: Long = 0,
    @ProtoNumber(4) val mayHaveLapsed: Boolean = false,
    @ProtoNumber(5) val catalogVersion: Long = -1,
    @ProtoNumber(6) val changes: List<EntryChangeMessage> = emptyList(),
    @ProtoNumber(7) val epoch: Long = 0,
    @ProtoNumber(8) val endOffset: Long? = null,
    @ProtoNumber(11) val evacuations: EvacuationsMessage? = null,
)

/** Represents a target's entry as of [offset], or its removal if [entry] is `null`. */
@Serializable
internal class EntryChangeMessage(
    @ProtoNumber(1) val key: String,
    @ProtoNumber(2) val offset: Long,
    @ProtoNumber(3) val entry: TargetEntryMessage? = null,
) {
    /** Returns the change that this message represents. */
    fun toChange(): KeyChange<TargetEntry> = KeyChange(key, entry?.toEntry(key), offset)
}

/** Represents the state that a target reports about itself. */
@Serializable
internal class TargetEntryMessage(
    @ProtoNumber(1) val service: String,
    @ProtoNumber(2) val address: String,
    @ProtoNumber(3) val zoneId: String,
    @ProtoNumber(4) val slots: Int,
    @ProtoNumber(5) val isDraining: Boolean = false,
    @ProtoNumber(6) val bornEpochMillis: Long? = null,
    @ProtoNumber(7) val remainingMillis: Long? = null,
    @ProtoNumber(8) val heldModels: List<HeldModelMessage> = emptyList(),
    @ProtoNumber(9) val inMemory: List<String> = emptyList(),
    @ProtoNumber(10) val onDisk: List<String> = emptyList(),
    @ProtoNumber(11) val coldMillis: Long? = null,
) {
    /** Returns the entry of the target with the id [key]. */
    fun toEntry(key: String): TargetEntry =
        TargetEntry(
            targetId = TargetId(key),
            service = ServiceName(service),
            address = address,
            zoneId = ZoneId(zoneId),
            slots = slots,
            isDraining = isDraining,
            bornEpochMillis = bornEpochMillis,
            remainingMillis = remainingMillis,
            heldModels = heldModels.map { it.toHeldModel() }.associateBy { it.modelId },
            hostWeights = HostWeights(
                inMemory.mapTo(LinkedHashSet(), ::ModelId),
                onDisk.mapTo(LinkedHashSet(), ::ModelId),
            ),
            coldMillis = coldMillis,
        )
}

/** Represents a model that a target holds. */
@Serializable
internal class HeldModelMessage(
    @ProtoNumber(1) val modelId: String,
    @ProtoNumber(2) val weightsVersion: Long = 0,
    @ProtoNumber(3) val adapterIds: List<String> = emptyList(),
) {
    /** Returns the model that this message represents. */
    fun toHeldModel(): HeldModel =
        HeldModel(ModelId(modelId), weightsVersion, adapterIds.mapTo(LinkedHashSet(), ::AdapterId))
}

/** Returns this listing in its wire format, with the version of the sender's catalog and the evacuated zones. */
internal fun TargetListing.encode(catalogVersion: Long, evacuations: EvacuationsMessage?): ByteArray {
    val available = changes as? ChangesSince.Available
    val page = TargetFeedPage(
        isForgotten = available == null,
        nextOffset = available?.nextOffset ?: 0,
        ageMillis = ageMillis,
        mayHaveLapsed = mayHaveLapsed,
        catalogVersion = catalogVersion,
        changes = available?.changes.orEmpty().map { EntryChangeMessage(it.key, it.offset, it.value?.toMessage()) },
        epoch = epoch,
        endOffset = endOffset,
        evacuations = evacuations,
    )
    return encodeMessage(TargetFeedPage.serializer(), page)
}

private fun TargetEntry.toMessage(): TargetEntryMessage =
    TargetEntryMessage(
        service = service.value,
        address = address,
        zoneId = zoneId.value,
        slots = slots,
        isDraining = isDraining,
        bornEpochMillis = bornEpochMillis,
        remainingMillis = remainingMillis,
        heldModels = heldModels.values.map { held ->
            HeldModelMessage(held.modelId.value, held.weightsVersion, held.adapters.map { it.value })
        },
        inMemory = hostWeights.inMemory.map { it.value },
        onDisk = hostWeights.onDisk.map { it.value },
        coldMillis = coldMillis,
    )

/** Returns the page encoded in [bytes], or `null` if they are malformed. */
internal fun decodeTargetFeedPageOrNull(bytes: ByteArray): TargetFeedPage? =
    decodeMessageOrNull(TargetFeedPage.serializer(), bytes)
