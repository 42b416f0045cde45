package org.banyanturn.core.state

import kotlinx.collections.immutable.PersistentList
import kotlinx.collections.immutable.PersistentMap
import kotlinx.collections.immutable.PersistentSet
import kotlinx.collections.immutable.persistentHashMapOf
import kotlinx.collections.immutable.persistentListOf
import org.banyanturn.core.AdapterId
import org.banyanturn.core.KeyId
import org.banyanturn.core.MemberId
import org.banyanturn.core.ModelId
import org.banyanturn.core.RouteName
import org.banyanturn.core.TargetId
import org.banyanturn.core.VmId

/**
 * The number of most recent verdicts that the state remembers.
 *
 * A record whose id is repeated after its verdict was evicted is folded as a new one.
 */
public const val MAX_REMEMBERED_VERDICTS: Int = 10_000

/**
 * Represents the shared state that every VM computes by folding the log.
 *
 * The `version` of an item is the offset of the record that last changed it.
 *
 * @property nextOffset offset of the first record that is not yet folded.
 * @property keyIdsByHash the key ids by key hash, including withdrawn keys.
 * @property copies the claimed copies.
 * @property copyKeysByModel the claimed copies of each model, of all versions, excluding adapters.
 * @property claimsByTarget the claims on each engine and the total memory that they reserve.
 * @property rateHomes the router that grants the shares of each partition of the members' rates.
 * @property verdicts verdicts of the most recent records by record id, for writers that wait for a verdict and for the
 * detection of duplicate records.
 * @property recentRecordIds ring buffer of the record ids of the remembered verdicts; the id of verdict number n is at
 * index n modulo [MAX_REMEMBERED_VERDICTS].
 * @property rememberedRecords the total number of verdicts that were added, including evicted ones.
 * @property skippedRecords the number of records that were malformed or of an unknown kind.
 * @property checkpoint the latest announced checkpoint, or `null` if none was announced.
 */
public data class FleetState(
    val nextOffset: Long = 0,
    val members: PersistentMap<MemberId, Member> = persistentHashMapOf(),
    val keys: PersistentMap<KeyId, Key> = persistentHashMapOf(),
    val keyIdsByHash: PersistentMap<String, KeyId> = persistentHashMapOf(),
    val models: PersistentMap<ModelId, Model> = persistentHashMapOf(),
    val adapters: PersistentMap<AdapterId, Adapter> = persistentHashMapOf(),
    val targets: PersistentMap<TargetId, Target> = persistentHashMapOf(),
    val routes: PersistentMap<RouteName, Route> = persistentHashMapOf(),
    val vms: PersistentMap<VmId, Vm> = persistentHashMapOf(),
    val routers: PersistentMap<VmId, Router> = persistentHashMapOf(),
    val owners: PersistentMap<TargetId, EngineOwner> = persistentHashMapOf(),
    val copies: PersistentMap<CopyKey, Copy> = persistentHashMapOf(),
    val copyKeysByModel: PersistentMap<ModelId, PersistentSet<CopyKey>> = persistentHashMapOf(),
    val claimsByTarget: PersistentMap<TargetId, TargetClaims> = persistentHashMapOf(),
    val rateHomes: PersistentMap<Int, RateHome> = persistentHashMapOf(),
    val verdicts: PersistentMap<String, Verdict> = persistentHashMapOf(),
    val recentRecordIds: PersistentList<String> = persistentListOf(),
    val rememberedRecords: Long = 0,
    val skippedRecords: Long = 0,
    val checkpoint: AnnouncedCheckpoint? = null,
)

/** Returns the key whose hash is [keyHash], or `null` if there is none or it was withdrawn. */
public fun FleetState.liveKeyOrNull(keyHash: String): Key? =
    keyIdsByHash[keyHash]?.let(keys::get)?.takeUnless(Key::isWithdrawn)
