package org.banyanturn.core.routing

import org.banyanturn.core.MemberId
import org.banyanturn.core.queueing.StartOrder
import org.banyanturn.core.queueing.StartTerms

/**
 * A prompt that waits to be sent to an engine.
 *
 * @property memberId the member that sent the prompt.
 * @property prefillMillis estimated prefill time of the prompt, in milliseconds.
 * @property maxTotalPrefillMillis limit of the total prefill time of all prompts in flight, including this one, in
 * milliseconds.
 * @property latestSendMillis time at which the prompt is sent even if the limit is exceeded.
 * @property urgency what decides between prompts of several ranks, or `null` if the rank is not known.
 */
public data class PrefillRequest(
    val memberId: MemberId,
    val prefillMillis: Double,
    val maxTotalPrefillMillis: Double,
    val latestSendMillis: Long,
    val urgency: PromptUrgency? = null,
)

/**
 * What decides between prompts of several ranks.
 *
 * @property rank priority of the request; 0 is the most urgent.
 * @property onTimeByMillis time by which the prompt must be sent for the response to be on time.
 * @property workMillis estimated time for which the request occupies the engine, in milliseconds.
 */
public data class PromptUrgency(val rank: Int, val onTimeByMillis: Long, val workMillis: Double)

/**
 * Decides when prompts may be sent to one engine, in equal turns: the least recently served member is next. While
 * prompts of several ranks wait, [StartOrder] decides. Not thread-safe.
 *
 * Load pattern: an engine interleaves prefill with the decoding steps of its running streams. Prompts that arrive
 * together from many VMs are processed one after the other, and every stream of the engine pauses for all of them. A
 * delay of a few hundred milliseconds, which the callers of these prompts allow, keeps the pauses within the allowed
 * gap: the next prompt is sent once an earlier one has produced its first event, which takes as many engine steps as
 * the next event of any stream.
 *
 * The prompts that are processed during one pause were either in flight when it began, or were sent after one of those
 * had completed. So at most twice [PrefillRequest.maxTotalPrefillMillis] falls into one pause, unless a single prompt
 * takes longer.
 *
 * @param completionTimeoutMillis time after which a prompt that was sent counts as completed although its completion
 * was not reported, in milliseconds.
 * @param defaultRank the rank of prompts whose rank is not known.
 */
public class PrefillScheduler<K : Any>(
    private val completionTimeoutMillis: Long = DEFAULT_COMPLETION_TIMEOUT_MILLIS,
    private val defaultRank: Int = 0,
) {
    private val order = StartOrder()
    private val waiting = LinkedHashMap<K, PrefillRequest>()
    private val inFlight = LinkedHashMap<K, InFlightPrompt>()
    private val lastTurnByMember = HashMap<MemberId, Long>()
    private var turnCount = 0L

    /** Whether no prompt is waiting or in flight. */
    public val isEmpty: Boolean
        get() = waiting.isEmpty() && inFlight.isEmpty()

    /** Returns the total prefill time of all prompts that are in flight or waiting, in milliseconds. */
    public fun backlogMillis(): Double = inFlightMillis() + waiting.values.sumOf { it.prefillMillis }

    private fun inFlightMillis(): Double = inFlight.values.sumOf { it.prompt.prefillMillis }

    /** Adds [prompt] to the queue and returns the keys of the prompts that may be sent now; idempotent. */
    public fun submit(key: K, prompt: PrefillRequest, nowMillis: Long): List<K> {
        if (key in inFlight) return listOf(key)
        waiting.putIfAbsent(key, prompt)
        return admit(nowMillis)
    }

    /**
     * Removes the prompt [key], which was processed or will not be sent, and returns the keys of the prompts that may
     * be sent now.
     */
    public fun completed(key: K, nowMillis: Long): List<K> {
        waiting -= key
        inFlight -= key
        return admit(nowMillis)
    }

    /** Returns the keys of the prompts that may be sent at [nowMillis] because of a deadline or timeout. */
    public fun tick(nowMillis: Long): List<K> = admit(nowMillis)

    private fun admit(nowMillis: Long): List<K> {
        inFlight.values.removeIf { nowMillis - it.sentAtMillis > completionTimeoutMillis }
        val overdue = waiting.filterValues { it.latestSendMillis <= nowMillis }.keys.toList()
        overdue.forEach { markSent(it, nowMillis) }
        val admitted = ArrayList(overdue)
        while (true) {
            val key = nextOrNull(nowMillis)?.takeIf { fits(it.value) }?.key ?: return admitted
            markSent(key, nowMillis)
            admitted += key
        }
    }

    /** Returns the oldest prompt of the member that was served least recently, if all waiting prompts have one rank. */
    private fun nextOrNull(nowMillis: Long): Map.Entry<K, PrefillRequest>? {
        val hasSeveralRanks = waiting.values.mapTo(HashSet(), ::rankOf).size > 1
        if (hasSeveralRanks) return order.firstOrNull(waiting.entries, nowMillis) { termsOf(it.value) }
        return waiting.entries.minByOrNull { lastTurnByMember[it.value.memberId] ?: 0 }
    }

    private fun rankOf(prompt: PrefillRequest): Int = prompt.urgency?.rank ?: defaultRank

    private fun termsOf(prompt: PrefillRequest): StartTerms =
        StartTerms(
            prompt.memberId,
            rankOf(prompt),
            arrivedAtMillis = 0,
            onTimeByMillis = prompt.urgency?.onTimeByMillis ?: prompt.latestSendMillis,
            startByMillis = prompt.latestSendMillis,
            workMillis = prompt.urgency?.workMillis ?: prompt.prefillMillis,
        )

    private fun fits(prompt: PrefillRequest): Boolean =
        inFlight.isEmpty() || inFlightMillis() + prompt.prefillMillis <= prompt.maxTotalPrefillMillis

    private fun markSent(key: K, nowMillis: Long) {
        val prompt = waiting.remove(key) ?: return
        inFlight[key] = InFlightPrompt(prompt, nowMillis)
        lastTurnByMember[prompt.memberId] = ++turnCount
        recordTurn(prompt, nowMillis)
    }

    /** Counts a prompt that got its turn too late to be on time as lost for its rank. */
    private fun recordTurn(prompt: PrefillRequest, nowMillis: Long) {
        val terms = termsOf(prompt)
        if (terms.canBeOnTime(nowMillis)) order.recordStarted(terms, nowMillis) else order.recordLost(terms, nowMillis)
    }

    private companion object {
        const val DEFAULT_COMPLETION_TIMEOUT_MILLIS = 1_000L
    }
}

private class InFlightPrompt(val prompt: PrefillRequest, val sentAtMillis: Long)
