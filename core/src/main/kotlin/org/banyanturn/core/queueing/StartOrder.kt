package org.banyanturn.core.queueing

import org.banyanturn.core.MemberId
import kotlin.math.ln

/**
 * Settings of [StartOrder].
 *
 * @property fractionBand difference of the started fractions of two ranks up to which they count as equally served.
 * @property lateBands number of bands by which a request that is late in any case is behind those that can be on time;
 * it lets a rank all of whose requests are late be served too.
 * @property decayMillis time constant with which earlier requests lose their weight, in milliseconds.
 */
public data class StartOrderSettings(
    val fractionBand: Double = 0.01,
    val lateBands: Int = 3,
    val decayMillis: Double = 30_000.0,
)

/**
 * Decides which of the requests that compete for the engines of a service starts next. Not thread-safe.
 *
 * Load pattern: requests of several ranks arrive faster than engines serve them. If the most urgent rank always came
 * first, the least urgent one would starve; in order of arrival, the ranks with the strictest target latency would lose
 * most of their requests. Therefore the ranks whose recent requests were started least often come first, with a
 * tolerance within which the more urgent rank comes first. Waiting requests that are late already count as lost for the
 * requests of their rank that can still be on time, since otherwise a loss would be noticed only when the caller gives
 * up. The criteria, in this order:
 * 1. the rank whose started fraction is lower by at least [StartOrderSettings.fractionBand], if its request can be on
 * time, or else by at least [StartOrderSettings.lateBands] times as much,
 * 2. requests that can be on time before those that are late in any case,
 * 3. the more urgent rank,
 * 4. the member that was served least recently,
 * 5. less remaining time until the request is late, to a factor of two,
 * 6. less work, to a factor of two, since estimates of work are inexact,
 * 7. the earlier arrival.
 */
public class StartOrder(private val settings: StartOrderSettings = StartOrderSettings()) {
    private val fractions = ServedFractions(settings.decayMillis)
    private val lastTurnByMember = HashMap<MemberId, Long>()
    private var turnCount = 0L

    /** Returns the request of [candidates] that starts next at [nowMillis], or `null` if there is none. */
    public fun <T : Any> firstOrNull(candidates: Collection<T>, nowMillis: Long, termsOf: (T) -> StartTerms): T? {
        if (candidates.size <= 1) return candidates.firstOrNull()
        return candidates.minWithOrNull(comparator(candidates, nowMillis, termsOf))
    }

    /**
     * Returns how many of [candidates] are certain to start before each of them, from [nowMillis] on.
     *
     * Requests of a less urgent rank are not counted, nor are those of a more urgent rank that was started more often:
     * which of them come first depends on the requests that arrive meanwhile.
     *
     * @param competes whether the first request can only start where the second one can start too.
     */
    public fun <T : Any> countsAhead(
        candidates: Collection<T>,
        nowMillis: Long,
        termsOf: (T) -> StartTerms,
        competes: (T, T) -> Boolean,
    ): Map<T, Int> {
        val byRank = candidates.sortedWith(comparator(candidates, nowMillis, termsOf)).groupBy { termsOf(it).rank }
        val bands = bandsByRank(candidates.map(termsOf), nowMillis)
        val counts = LinkedHashMap<T, Int>()
        byRank.forEach { (rank, ofRank) ->
            val urgent = byRank.filterKeys {
                it < rank && bands.getValue(it).onTime <= bands.getValue(rank).onTime
            }.values.flatten()
            val inTurns = inTurns(ofRank, nowMillis, termsOf)
            inTurns.forEachIndexed { index, one ->
                val isLate = !termsOf(one).canBeOnTime(nowMillis)
                val urgentCount = urgent.count { (isLate || termsOf(it).canBeOnTime(nowMillis)) && competes(it, one) }
                counts[one] = urgentCount + (0 until index).count { competes(inTurns[it], one) }
            }
        }
        return counts
    }

    /** Lets the members of [sorted], which have one rank, take turns as they do while these requests are started. */
    private fun <T : Any> inTurns(sorted: List<T>, nowMillis: Long, termsOf: (T) -> StartTerms): List<T> {
        val (onTime, late) = sorted.partition { termsOf(it).canBeOnTime(nowMillis) }
        return listOf(onTime, late).flatMap { part ->
            val turnsByMember = HashMap<MemberId, Int>()
            part.map { it to (turnsByMember.merge(termsOf(it).memberId, 1, Int::plus) ?: 0) }
                .sortedBy { (_, turn) -> turn }
                .map { (request, _) -> request }
        }
    }

    private fun <T : Any> comparator(
        candidates: Collection<T>,
        nowMillis: Long,
        termsOf: (T) -> StartTerms,
    ): Comparator<T> {
        val bands = bandsByRank(candidates.map(termsOf), nowMillis)
        return compareBy(
            { bands.getValue(termsOf(it).rank).of(termsOf(it).canBeOnTime(nowMillis)) },
            { if (termsOf(it).canBeOnTime(nowMillis)) 0 else 1 },
            { termsOf(it).rank },
            { lastTurnByMember[termsOf(it).memberId] ?: 0L },
            { magnitude((termsOf(it).onTimeByMillis - nowMillis) / MIN_SLACK_MILLIS) },
            { magnitude(termsOf(it).workMillis) },
            { termsOf(it).arrivedAtMillis },
        )
    }

    private fun bandsByRank(waiting: List<StartTerms>, nowMillis: Long): Map<Int, RankBands> {
        val fractionsByRank = waiting.groupBy { it.rank }.mapValues { (rank, ofRank) ->
            val late = ofRank.filterNot { it.canBeOnTime(nowMillis) }
            val lateByMember = late.groupingBy { it.memberId }.eachCount()
            fractions.fractionOf(rank, nowMillis, lateByMember) to fractions.fractionOf(rank, nowMillis)
        }
        val least = fractionsByRank.values.minOfOrNull { (ifLateAreLost, _) -> ifLateAreLost } ?: 1.0
        return fractionsByRank.mapValues { (_, fractions) ->
            RankBands(bandOf(fractions.first - least), settings.lateBands + bandOf(fractions.second - least))
        }
    }

    private fun bandOf(difference: Double): Int = (difference / settings.fractionBand).toInt()

    /** Records that the request with [terms] is started at [nowMillis]. */
    public fun recordStarted(terms: StartTerms, nowMillis: Long) {
        fractions.record(terms.rank, terms.memberId, isStarted = true, nowMillis)
        lastTurnByMember[terms.memberId] = ++turnCount
    }

    /** Records that the request with [terms] was given up at [nowMillis] because no engine could start it in time. */
    public fun recordLost(terms: StartTerms, nowMillis: Long): Unit =
        fractions.record(terms.rank, terms.memberId, isStarted = false, nowMillis)

    private companion object {
        /** Differences of the remaining time below this are irrelevant. */
        const val MIN_SLACK_MILLIS = 50.0

        /** Returns the order of magnitude of [value], to a factor of two; at least 0. */
        fun magnitude(value: Double): Int = if (value <= 1) 0 else (ln(value) / ln(2.0)).toInt()
    }
}

/** The positions of the requests of one rank by its started fraction: those that can be on time, and the late ones. */
private class RankBands(val onTime: Int, private val late: Int) {
    fun of(isOnTime: Boolean): Int = if (isOnTime) onTime else late
}
