package org.banyanturn.core.placement

import kotlinx.collections.immutable.PersistentMap
import kotlinx.collections.immutable.persistentMapOf
import org.banyanturn.core.MemberId

/**
 * An immutable scheduler that shares load time fairly among members by start-time fair queueing.
 *
 * A member that was idle starts at [virtualTimeMillis], so it cannot accumulate credit.
 */
internal data class FairLoadScheduler(
    private val finishTagsMillis: PersistentMap<MemberId, Long> = persistentMapOf(),
    private val virtualTimeMillis: Long = 0,
) {
    /** Returns the start tag of the next load that is charged to [memberId]. */
    fun startTagOf(memberId: MemberId): Long = maxOf(virtualTimeMillis, finishTagsMillis[memberId] ?: 0)

    /**
     * Returns the load among [loads] to start next, or `null` if there is none.
     *
     * Among the members that are at most [maxLeadMillis] ahead of the lowest start tag, the load with the earliest
     * latest start comes first.
     */
    fun nextOrNull(loads: Collection<QueuedLoad>, maxLeadMillis: Long): SelectedLoad? {
        val candidates = loads.map { load ->
            val memberId = load.chargedMember(this)
            SelectedLoad(load, memberId, startTagOf(memberId))
        }
        val lowestStartTagMillis = candidates.minOfOrNull(SelectedLoad::startTagMillis) ?: return null
        return candidates
            .filter { it.startTagMillis <= lowestStartTagMillis + maxLeadMillis }
            .minWith(
                compareBy(
                    { it.load.latestStartMillis() },
                    { it.load.lastRequestedMillis },
                    { it.load.key.toString() },
                ),
            )
            .copy(lowestStartTagMillis = lowestStartTagMillis)
    }

    /** Returns the scheduler after the load time of [selected] was charged to its member. */
    fun charge(selected: SelectedLoad): FairLoadScheduler {
        val virtualTimeMillis = maxOf(virtualTimeMillis, selected.lowestStartTagMillis)
        val idleMembers = finishTagsMillis.filterValues { it <= virtualTimeMillis }.keys
        val activeFinishTagsMillis =
            idleMembers.fold(finishTagsMillis) { remaining, memberId -> remaining.removing(memberId) }
        val finishTagMillis = selected.startTagMillis + selected.load.predictedLoadMillis
        return FairLoadScheduler(activeFinishTagsMillis.putting(selected.memberId, finishTagMillis), virtualTimeMillis)
    }
}

/**
 * A load that is selected to start.
 *
 * @property memberId the member that the load time is charged to.
 * @property startTagMillis the start tag of this member.
 * @property lowestStartTagMillis the lowest start tag among all members with waiting loads.
 */
internal data class SelectedLoad(
    val load: QueuedLoad,
    val memberId: MemberId,
    val startTagMillis: Long,
    val lowestStartTagMillis: Long = startTagMillis,
)

/**
 * Returns the member that this load is charged to: of the members that wait for it, the one with the least load time.
 */
internal fun QueuedLoad.chargedMember(scheduler: FairLoadScheduler): MemberId =
    waiters.minByOrNull { scheduler.startTagOf(it.memberId) }?.memberId ?: lastMemberId

/** Returns the latest start that meets the earliest deadline of the waiters, or the maximum value without waiters. */
internal fun QueuedLoad.latestStartMillis(): Long =
    waiters.minOfOrNull(LoadWaiter::deadlineMillis)?.minus(predictedLoadMillis) ?: Long.MAX_VALUE
