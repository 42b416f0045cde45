package org.banyanturn.entry.requests

import org.banyanturn.core.serving.KnownTarget
import org.banyanturn.entry.turns.PendingPrompt
import org.banyanturn.entry.turns.PromptTurn

/** Represents a request whose prompt is sent only when it has a turn at the target. */
internal interface TurnRequest {
    /** What the request requires of a target. */
    val requirements: TargetRequirements

    /** The prompt of the request. */
    val prompt: PendingPrompt

    /** Returns the latest time at which the prompt must be sent. */
    fun sendByMillis(): Long

    /** Sends the request to [target]. */
    fun sendTo(target: KnownTarget)

    /** Selects a target again. */
    fun reselectTarget()
}

/** Acquires one turn at a time for a request; if the prompt is queued, tries a target that is preferable now. */
internal class TurnAcquirer(private val request: TurnRequest, private val environment: RequestEnvironment) {
    private var requestedAtMillis: Long? = null
    private var targetChanges = 0

    /** The turn that was requested last, or `null` if none was. */
    var turn: PromptTurn? = null
        private set

    /** Returns the time since the last turn was requested, in milliseconds, or 0 if none was. */
    fun waitedMillis(): Long = requestedAtMillis?.let { environment.clock.nowMillis() - it } ?: 0

    /** Requests a turn at [target] and sends the request there, or to a better target, once its turn is granted. */
    fun acquire(target: KnownTarget) {
        end()
        val acquired = environment.turns.turnAt(target, request.prompt, request.sendByMillis())
        turn = acquired
        requestedAtMillis = environment.clock.nowMillis()
        acquired.await({ onGranted(target) }, { tryOtherTarget(target) })
    }

    private fun onGranted(target: KnownTarget) {
        val isStillEligible = environment.targetSelector.isStillEligible(target.entry.targetId, request.requirements)
        if (isStillEligible) return request.sendTo(target)
        end()
        request.reselectTarget()
    }

    private fun tryOtherTarget(target: KnownTarget) {
        if (targetChanges >= MAX_TARGET_CHANGES) return
        val selection = environment.targetSelector.select(request.requirements)
        if (selection !is TargetSelection.Selected || selection.target.entry.targetId == target.entry.targetId) return
        targetChanges++
        acquire(selection.target)
    }

    /** Ends the last turn if it has not ended. */
    fun end() {
        turn?.end()
        turn = null
    }

    private companion object {
        const val MAX_TARGET_CHANGES = 2
    }
}
