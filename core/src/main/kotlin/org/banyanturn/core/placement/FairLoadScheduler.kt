package org.banyanturn.core.placement

import kotlinx.collections.immutable.PersistentMap
import kotlinx.collections.immutable.persistentMapOf
import org.banyanturn.core.MemberId

/**
 * The load time that each member has had, for equal turns: start-time fair queueing.
 *
 * A member that was idle starts at [virtualMillis], so that it can't save up turns.
 */
internal data class FairLoadScheduler(
    private val finishMillis: PersistentMap<MemberId, Long> = persistentMapOf(),
    private val virtualMillis: Long = 0,
) {
    fun startTagOf(memberId: MemberId): Long = maxOf(virtualMillis, finishMillis[memberId] ?: 0)

    /** Returns the load among [loads] whose turn it is, or `null` if there is none. */
    fun nextOrNull(loads: Collection<QueuedLoad>, turnMillis: Long): SelectedLoad? {
        val turns = loads.map { load ->
            val memberId = load.chargedMember(this)
            SelectedLoad(load, memberId, startTagOf(memberId))
        }
        val lowestMillis = turns.minOfOrNull(SelectedLoad::startTagMillis) ?: return null
        return turns
            .filter { it.startTagMillis <= lowestMillis + turnMillis }
            .minWith(
                compareBy(
                    { it.load.latestStartMillis() },
                    { it.load.lastWantedMillis },
                    { it.load.key.toString() },
                ),
            )
            .copy(lowestTagMillis = lowestMillis)
    }

    /** Returns the turns after [turn] was used. */
    fun charge(turn: SelectedLoad): FairLoadScheduler {
        val virtualMillis = maxOf(virtualMillis, turn.lowestTagMillis)
        val idleMembers = finishMillis.filterValues { it <= virtualMillis }.keys
        val kept = idleMembers.fold(finishMillis) { remaining, memberId -> remaining.removing(memberId) }
        val finishTagMillis = turn.startTagMillis + turn.load.predictedLoadMillis
        return FairLoadScheduler(kept.putting(turn.memberId, finishTagMillis), virtualMillis)
    }
}

/**
 * The start of [load] in the turn of [memberId].
 *
 * @property lowestTagMillis the lowest start tag of all members with loads that wait.
 */
internal data class SelectedLoad(
    val load: QueuedLoad,
    val memberId: MemberId,
    val startTagMillis: Long,
    val lowestTagMillis: Long = startTagMillis,
)

/** Returns the member whose turn this load uses: of those that wait, the one that has had least. */
internal fun QueuedLoad.chargedMember(turns: FairLoadScheduler): MemberId =
    waiters.minByOrNull { turns.startTagOf(it.memberId) }?.memberId ?: lastMemberId

/** Returns the latest start that still meets the earliest deadline; loads that no request waits for come last. */
internal fun QueuedLoad.latestStartMillis(): Long =
    waiters.minOfOrNull(LoadWaiter::deadlineMillis)?.minus(predictedLoadMillis) ?: Long.MAX_VALUE
