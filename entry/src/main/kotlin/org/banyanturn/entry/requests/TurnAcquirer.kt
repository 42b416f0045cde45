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
    fun chooseAgain()
}

/** Takes the turns of one request, one at a time, and looks for a target where its turn comes sooner. */
internal class TurnAcquirer(private val request: TurnRequest, private val environment: RequestEnvironment) {
    private var askedAtMillis: Long? = null
    private var moves = 0

    /** The turn that was asked for last, or `null` if none was. */
    var turn: PromptTurn? = null
        private set

    /** Returns how long the request has waited for its turn, in milliseconds. */
    fun waitedMillis(): Long = askedAtMillis?.let { environment.clock.nowMillis() - it } ?: 0

    /** Sends the request to [target], or to one that takes it sooner, when its turn has come. */
    fun take(target: KnownTarget) {
        end()
        val taken = environment.turns.turnAt(target, request.prompt, request.sendByMillis())
        turn = taken
        askedAtMillis = environment.clock.nowMillis()
        taken.await({ onTurn(target) }, { lookElsewhere(target) })
    }

    private fun onTurn(target: KnownTarget) {
        val mayTake = environment.targetSelector.mayTake(target.entry.targetId, request.requirements)
        if (mayTake) request.sendTo(target) else request.chooseAgain()
    }

    private fun lookElsewhere(target: KnownTarget) {
        if (moves >= MAX_MOVES) return
        val placed = environment.targetSelector.select(request.requirements)
        if (placed !is TargetSelection.Send || placed.target.entry.targetId == target.entry.targetId) return
        moves++
        take(placed.target)
    }

    /** Gives the last turn back, if it has not ended. */
    fun end() {
        turn?.end()
        turn = null
    }

    private companion object {
        const val MAX_MOVES = 2
    }
}
