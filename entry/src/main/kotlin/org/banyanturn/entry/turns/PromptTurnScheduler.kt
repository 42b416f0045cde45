package org.banyanturn.entry.turns

import org.banyanturn.core.MemberId
import org.banyanturn.core.TargetId
import org.banyanturn.core.routing.PrefillRequest
import org.banyanturn.core.routing.PrefillScheduler
import org.banyanturn.core.routing.PrefillSpeedEstimator
import org.banyanturn.core.routing.PromptUrgency
import org.banyanturn.daemon.ProcessClock
import org.banyanturn.entry.requests.FleetView

/** Identifies a turn by the [host] of the VM that requested it, `null` for this VM, and its [number] on that VM. */
internal data class TurnKey(val host: String?, val number: Long)

/**
 * Represents a prompt of [tokens] tokens that a member's request is about to send.
 *
 * @property urgency what decides between prompts of several ranks, or `null` if the rank is not known or all routes of
 * the service have the same.
 */
internal class PendingPrompt(val memberId: MemberId, val tokens: Long, val urgency: PromptUrgency? = null)

/**
 * Represents the answer to a turn request.
 *
 * @property isGranted whether the prompt may be sent now.
 * @property backlogMillis how long the engine takes to process the prompts ahead of it.
 */
internal class TurnAnswer(val isGranted: Boolean, val backlogMillis: Long)

/** Schedules the turns at the engines that this VM owns; used on the event loop only. */
internal class PromptTurnScheduler(
    private val view: FleetView,
    private val clock: ProcessClock,
    private val prefillSpeed: PrefillSpeedEstimator,
    private val onGranted: (TurnKey) -> Unit,
) {
    private val prefillSchedulers = HashMap<TargetId, PrefillScheduler<TurnKey>>()

    /** Whether prompts wait or are being processed. */
    val isBusy: Boolean
        get() = prefillSchedulers.isNotEmpty()

    /** Returns whether a prompt may be sent immediately; otherwise [onGranted] is called when its turn is granted. */
    fun submit(key: TurnKey, targetId: TargetId, prompt: PendingPrompt, waitMillis: Long): TurnAnswer {
        val budgetMillis = budgetMillisOrNull(targetId) ?: return TurnAnswer(isGranted = true, backlogMillis = 0)
        val nowMillis = clock.nowMillis()
        val prefillMillis = prompt.tokens * (prefillSpeed.millisPerTokenOrNull() ?: 0.0) * view.workFactor(targetId)
        val latestSendMillis = nowMillis + waitMillis
        val prefillRequest =
            PrefillRequest(prompt.memberId, prefillMillis, budgetMillis, latestSendMillis, prompt.urgency)
        val prefillScheduler = prefillSchedulers.getOrPut(targetId) { newScheduler(targetId) }
        val granted = prefillScheduler.submit(key, prefillRequest, nowMillis)
        granted.filterNot { it == key }.forEach(onGranted)
        return TurnAnswer(key in granted, (prefillScheduler.backlogMillis() - prefillMillis).toLong().coerceAtLeast(0))
    }

    /** A prompt without a rank, from a VM that runs an older version, has the middle rank of the service's routes. */
    private fun newScheduler(targetId: TargetId): PrefillScheduler<TurnKey> {
        val service = view.directory.targets[targetId]?.entry?.service
        return PrefillScheduler(defaultRank = service?.let { view.catalog?.middleRankOrNull(it) } ?: 0)
    }

    private fun budgetMillisOrNull(targetId: TargetId): Double? {
        val service = view.directory.targets[targetId]?.entry?.service ?: return null
        return view.catalog?.minGapMillisOrNull(service)?.let { it * BUDGET_FRACTION }
    }

    /** Records that the prompt [key] was processed or won't be sent. */
    fun end(key: TurnKey, targetId: TargetId) {
        val prefillScheduler = prefillSchedulers[targetId] ?: return
        prefillScheduler.completed(key, clock.nowMillis()).forEach(onGranted)
        if (prefillScheduler.isEmpty) prefillSchedulers -= targetId
    }

    /** Grants the turns that have become due by the passage of time; called every few milliseconds. */
    fun tick() {
        prefillSchedulers.values.toList().forEach { it.tick(clock.nowMillis()).forEach(onGranted) }
        prefillSchedulers.values.removeIf { it.isEmpty }
    }

    private companion object {
        /**
         * Part of the longest acceptable gap between events that unprocessed prompts may take together.
         *
         * Up to twice this part is processed within one gap; the remainder is left for generating the tokens.
         */
        const val BUDGET_FRACTION = 0.45
    }
}
