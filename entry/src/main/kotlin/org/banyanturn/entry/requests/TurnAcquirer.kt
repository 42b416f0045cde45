package org.banyanturn.entry.requests

import org.banyanturn.core.serving.KnownTarget
import org.banyanturn.entry.turns.PendingPrompt
import org.banyanturn.entry.turns.PromptTurn

/** A request whose prompt takes turns. */
internal interface TurnRequest {
    /** What it needs of a target. */
    val requirements: TargetRequirements

    /** Its prompt. */
    val prompt: PendingPrompt

    /** Returns when its prompt must be sent at the latest. */
    fun sendByMillis(): Long

    /** Sends it to [target]. */
    fun sendTo(target: KnownTarget)

    /** Chooses a target anew. */
    fun reselectTarget()
}

/** Takes the turns of one request, one at a time, and looks for a target where its turn comes sooner. */
internal class TurnAcquirer(private val request: TurnRequest, private val environment: RequestEnvironment) {
    private var requestedAtMillis: Long? = null
    private var targetChanges = 0

    /** The turn that was asked for last, or `null` if none was. */
    var turn: PromptTurn? = null
        private set

    /** Returns how long the request has waited for its turn, in milliseconds. */
    fun waitedMillis(): Long = requestedAtMillis?.let { environment.clock.nowMillis() - it } ?: 0

    /** Sends the request to [target], or to one that takes it sooner, when its turn has come. */
    fun acquire(target: KnownTarget) {
        end()
        val acquired = environment.turns.turnAt(target, request.prompt, request.sendByMillis())
        turn = acquired
        requestedAtMillis = environment.clock.nowMillis()
        acquired.await({ onGranted(target) }, { tryOtherTarget(target) })
    }

    private fun onGranted(target: KnownTarget) {
        val isStillEligible = environment.targetSelector.isStillEligible(target.entry.targetId, request.requirements)
        if (isStillEligible) request.sendTo(target) else request.reselectTarget()
    }

    private fun tryOtherTarget(target: KnownTarget) {
        if (targetChanges >= MAX_TARGET_CHANGES) return
        val selection = environment.targetSelector.select(request.requirements)
        if (selection !is TargetSelection.Send || selection.target.entry.targetId == target.entry.targetId) return
        targetChanges++
        acquire(selection.target)
    }

    /** Gives the last turn back, if it has not ended. */
    fun end() {
        turn?.end()
        turn = null
    }

    private companion object {
        const val MAX_TARGET_CHANGES = 2
    }
}
