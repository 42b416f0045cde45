package org.banyanturn.core.routing

import org.banyanturn.core.MemberId

/**
 * A prompt that is to be sent to an engine.
 *
 * @property memberId whose prompt it is.
 * @property prefillMillis how long the engine takes to read it.
 * @property maxTotalPrefillMillis how long the engine may take for all prompts that it has not read, with this one.
 * @property latestSendMillis when it is sent at the latest, whatever else the engine reads.
 */
public data class PrefillRequest(
    val memberId: MemberId,
    val prefillMillis: Double,
    val maxTotalPrefillMillis: Double,
    val latestSendMillis: Long,
)

/**
 * Decides when prompts may be sent to one engine, with equal turns between members; not safe for use by several
 * threads.
 *
 * Load pattern: an engine reads prompts between the tokens of all that it runs. Prompts that arrive together from many
 * VMs are read one after the other, and every stream of the engine pauses for all of them. Held back by a few hundred
 * milliseconds, which their own callers allow, they break no pause: the next one is sent when an earlier one has given
 * its first event, which takes as many steps of the engine as any stream's next event.
 *
 * What is read within one pause was unfinished at its beginning, or followed what was finished in it. So twice
 * [PrefillRequest.maxTotalPrefillMillis] fit into a pause, unless a single prompt takes longer.
 */
public class PrefillScheduler<K : Any>(private val completionTimeoutMillis: Long = DEFAULT_COMPLETION_TIMEOUT_MILLIS) {
    private val waiting = LinkedHashMap<K, PrefillRequest>()
    private val inFlight = LinkedHashMap<K, InFlightPrompt>()
    private val lastTurnByMember = HashMap<MemberId, Long>()
    private var turnCount = 0L

    /** Whether no prompt waits and none is known to be unread. */
    public val isEmpty: Boolean
        get() = waiting.isEmpty() && inFlight.isEmpty()

    /** Returns how long the engine takes for all prompts that are unread or wait, in milliseconds. */
    public fun backlogMillis(): Double = inFlightMillis() + waiting.values.sumOf { it.prefillMillis }

    private fun inFlightMillis(): Double = inFlight.values.sumOf { it.prompt.prefillMillis }

    /** Takes in the wish to send [prompt] and returns what may be sent now; asking again changes nothing. */
    public fun submit(key: K, prompt: PrefillRequest, nowMillis: Long): List<K> {
        if (key in inFlight) return listOf(key)
        waiting.putIfAbsent(key, prompt)
        return admit(nowMillis)
    }

    /** Notes that the prompt [key] was read, or won't be sent, and returns what may be sent now. */
    public fun completed(key: K, nowMillis: Long): List<K> {
        waiting -= key
        inFlight -= key
        return admit(nowMillis)
    }

    /** Returns what may be sent since time has passed. */
    public fun tick(nowMillis: Long): List<K> = admit(nowMillis)

    private fun admit(nowMillis: Long): List<K> {
        inFlight.values.removeIf { nowMillis - it.sentAtMillis > completionTimeoutMillis }
        val overdue = waiting.filterValues { it.latestSendMillis <= nowMillis }.keys.toList()
        overdue.forEach { markSent(it, nowMillis) }
        val admitted = ArrayList(overdue)
        while (true) {
            val key = nextOrNull()?.takeIf { fits(it.value) }?.key ?: return admitted
            markSent(key, nowMillis)
            admitted += key
        }
    }

    /** The member whose last turn is longest ago goes first; within a member the order of asking holds. */
    private fun nextOrNull(): Map.Entry<K, PrefillRequest>? =
        waiting.entries.minByOrNull { lastTurnByMember[it.value.memberId] ?: 0 }

    private fun fits(prompt: PrefillRequest): Boolean =
        inFlight.isEmpty() || inFlightMillis() + prompt.prefillMillis <= prompt.maxTotalPrefillMillis

    private fun markSent(key: K, nowMillis: Long) {
        val prompt = waiting.remove(key) ?: return
        inFlight[key] = InFlightPrompt(prompt, nowMillis)
        lastTurnByMember[prompt.memberId] = ++turnCount
    }

    private companion object {
        /** After this time it counts as lost that a prompt was read. */
        const val DEFAULT_COMPLETION_TIMEOUT_MILLIS = 1_000L
    }
}

private class InFlightPrompt(val prompt: PrefillRequest, val sentAtMillis: Long)
