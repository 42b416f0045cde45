package org.banyanturn.entry.turns

import org.banyanturn.core.MemberId
import org.banyanturn.core.TargetId
import org.banyanturn.core.routing.PrefillRequest
import org.banyanturn.core.routing.PrefillScheduler
import org.banyanturn.core.routing.PrefillSpeedEstimator
import org.banyanturn.daemon.ProcessClock
import org.banyanturn.entry.requests.FleetView

/** Names a turn: the VM that asked by its host, `null` for this one, and its number there. */
internal data class TurnKey(val host: String?, val number: Long)

/** A prompt of [tokens] that a member wants to send. */
internal class PendingPrompt(val memberId: MemberId, val tokens: Long)

/** What a VM hears that has asked: whether it may send its prompt, and how long the prompts before it take. */
internal class TurnAnswer(val isGranted: Boolean, val backlogMillis: Long)

/** Gives the turns at the engines of which this VM keeps them; used on the event loop only. */
internal class PromptTurnScheduler(
    private val view: FleetView,
    private val clock: ProcessClock,
    private val prefillSpeed: PrefillSpeedEstimator,
    private val onGranted: (TurnKey) -> Unit,
) {
    private val prefillSchedulers = HashMap<TargetId, PrefillScheduler<TurnKey>>()

    /** Whether prompts wait or are being read. */
    val isBusy: Boolean
        get() = prefillSchedulers.isNotEmpty()

    /** Returns whether a prompt may be sent at once; otherwise [onGranted] is called when its turn has come. */
    fun ask(key: TurnKey, targetId: TargetId, prompt: PendingPrompt, waitMillis: Long): TurnAnswer {
        val budgetMillis = budgetMillisOrNull(targetId) ?: return TurnAnswer(isGranted = true, backlogMillis = 0)
        val nowMillis = clock.nowMillis()
        val prefillMillis = prompt.tokens * (prefillSpeed.millisPerTokenOrNull() ?: 0.0)
        val prefillRequest = PrefillRequest(prompt.memberId, prefillMillis, budgetMillis, nowMillis + waitMillis)
        val prefillScheduler = prefillSchedulers.getOrPut(targetId, ::PrefillScheduler)
        val granted = prefillScheduler.submit(key, prefillRequest, nowMillis)
        granted.filterNot { it == key }.forEach(onGranted)
        return TurnAnswer(key in granted, (prefillScheduler.backlogMillis() - prefillMillis).toLong().coerceAtLeast(0))
    }

    private fun budgetMillisOrNull(targetId: TargetId): Double? {
        val service = view.directory.targets[targetId]?.entry?.service ?: return null
        return view.catalog?.minGapMillisOrNull(service)?.let { it * BUDGET_FRACTION }
    }

    /** Notes that the prompt [key] was read, or won't be sent. */
    fun end(key: TurnKey, targetId: TargetId) {
        val prefillScheduler = prefillSchedulers[targetId] ?: return
        prefillScheduler.completed(key, clock.nowMillis()).forEach(onGranted)
        if (prefillScheduler.isEmpty) prefillSchedulers -= targetId
    }

    /** Gives the turns that have come since time has passed; called every few milliseconds. */
    fun tick() {
        prefillSchedulers.values.toList().forEach { it.tick(clock.nowMillis()).forEach(onGranted) }
        prefillSchedulers.values.removeIf { it.isEmpty }
    }

    private companion object {
        /** Twice this part of a pause may be read within the pause; the rest goes into the tokens themselves. */
        const val BUDGET_FRACTION = 0.45
    }
}
