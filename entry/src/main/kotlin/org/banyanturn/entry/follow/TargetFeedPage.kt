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
 * What one VM tells another of the list of targets.
 *
 * @property isForgotten whether the whole list must be read, since removals are no longer known.
 * @property ageMillis how long ago the sender read this from the platform's store.
 * @property catalogVersion the catalog that the sender follows.
 */
@Serializable
internal class TargetFeedPage(
    @ProtoNumber(1) val isForgotten: Boolean = false,
    @ProtoNumber(2) val nextOffset: Long = 0,
    @ProtoNumber(3) val ageMillis: Long = 0,
    @ProtoNumber(4) val mayHaveLapsed: Boolean = false,
    @ProtoNumber(5) val catalogVersion: Long = -1,
    @ProtoNumber(6) val changes: List<EntryChangeMessage> = emptyList(),
)

/** A target's entry since [offset], or its removal if there is no [entry]. */
@Serializable
internal class EntryChangeMessage(
    @ProtoNumber(1) val key: String,
    @ProtoNumber(2) val offset: Long,
    @ProtoNumber(3) val entry: TargetEntryMessage? = null,
) {
    fun toChange(): KeyChange<TargetEntry> = KeyChange(key, entry?.toEntry(key), offset)
}

/** What a target says of itself. */
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
) {
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
        )
}

/** A model that a target holds. */
@Serializable
internal class HeldModelMessage(
    @ProtoNumber(1) val modelId: String,
    @ProtoNumber(2) val weightsVersion: Long = 0,
    @ProtoNumber(3) val adapterIds: List<String> = emptyList(),
) {
    fun toHeldModel(): HeldModel =
        HeldModel(ModelId(modelId), weightsVersion, adapterIds.mapTo(LinkedHashSet(), ::AdapterId))
}

/** Returns the bytes of this listing, with the version of the catalog that the sender follows. */
internal fun TargetListing.encode(catalogVersion: Long): ByteArray {
    val known = changes as? ChangesSince.Available
    val page = TargetFeedPage(
        isForgotten = known == null,
        nextOffset = known?.nextOffset ?: 0,
        ageMillis = ageMillis,
        mayHaveLapsed = mayHaveLapsed,
        catalogVersion = catalogVersion,
        changes = known?.changes.orEmpty().map { EntryChangeMessage(it.key, it.offset, it.value?.toMessage()) },
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
    )

/** Returns the page in [bytes], or `null` if it can't be read. */
internal fun decodeFeedPageOrNull(bytes: ByteArray): TargetFeedPage? = decodeMessageOrNull(TargetFeedPage.serializer(), bytes)
