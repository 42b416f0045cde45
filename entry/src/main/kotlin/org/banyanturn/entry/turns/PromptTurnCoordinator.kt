package org.banyanturn.entry.turns

import org.banyanturn.core.MemberId
import org.banyanturn.core.TargetId
import org.banyanturn.core.isIdentifier
import org.banyanturn.core.routing.PrefillSpeedEstimator
import org.banyanturn.core.serving.KnownTarget
import org.banyanturn.daemon.ProcessClock
import org.banyanturn.entry.requests.FleetView

/** A request's turn to send its prompt to an engine. */
internal interface PromptTurn {
    /**
     * Calls [onTurn] when the prompt may be sent, at once or later; called once.
     *
     * [onQueued] is called before that if other prompts go first.
     */
    fun await(onTurn: () -> Unit, onQueued: () -> Unit)

    /** Ends the turn: the prompt was read, or won't be sent. */
    fun end()
}

/** Which VM keeps the turns at an engine; [host] is `null` if it is this one. */
internal class TurnOwner(val host: String?)

/** How the VMs that keep turns are reached. */
internal interface TurnTransport {
    /** Returns which VM keeps the turns at [targetId], or `null` if none is known. */
    fun turnOwnerOrNull(targetId: TargetId): TurnOwner?

    /** Sends [message] to the VM at [host]. */
    fun sendTurn(host: String, message: TurnMessage)
}

/**
 * Takes turns for the prompts of this VM's requests, and gives those at the engines that it owns.
 *
 * All VMs ask the owner of an engine, which alone can tell what the others send there. Nothing but pauses depends on
 * it: a prompt whose owner does not answer is sent without a turn, so that two owners, or none, do no harm.
 */
internal class PromptTurnCoordinator(
    private val view: FleetView,
    private val clock: ProcessClock,
    prefillSpeed: PrefillSpeedEstimator,
) {
    private val numbers = generateSequence(1L) { it + 1 }.iterator()
    private val scheduler = PromptTurnScheduler(view, clock, prefillSpeed, ::onGranted)
    private val waiting = LinkedHashMap<Long, WaitingTurn>()

    /** How other VMs are reached. */
    lateinit var transport: TurnTransport

    /** Whether turns are waited for or kept. */
    val isBusy: Boolean
        get() = waiting.isNotEmpty() || scheduler.isBusy

    /** Returns a turn for [prompt] at [target], which comes by [sendByMillis] at the latest. */
    fun turnAt(target: KnownTarget, prompt: PendingPrompt, sendByMillis: Long): PromptTurn {
        val targetId = target.entry.targetId
        return OwnTurn(numbers.next(), targetId, transport.turnOwnerOrNull(targetId), prompt, sendByMillis)
    }

    private inner class OwnTurn(
        private val number: Long,
        private val targetId: TargetId,
        private val owner: TurnOwner?,
        private val prompt: PendingPrompt,
        private val sendByMillis: Long,
    ) : PromptTurn {
        private var isEnded = false

        override fun await(onTurn: () -> Unit, onQueued: () -> Unit) {
            val nowMillis = clock.nowMillis()
            waiting[number] = WaitingTurn(targetId, nowMillis, sendByMillis, onTurn, onQueued)
            val waitMillis = (sendByMillis - nowMillis).coerceAtLeast(0)
            val host = owner?.host
            when {
                owner == null -> grant(number)
                host == null -> onAnswer(number, scheduler.ask(TurnKey(null, number), targetId, prompt, waitMillis))
                else -> requestFrom(host, waitMillis)
            }
        }

        private fun requestFrom(host: String, waitMillis: Long) {
            transport.sendTurn(
                host,
                TurnMessage(
                    number,
                    TurnStep.REQUESTED.number,
                    targetId.value,
                    prompt.tokens,
                    waitMillis,
                    memberId = prompt.memberId.value,
                ),
            )
            if (waitMillis == 0L) grant(number)
        }

        override fun end() {
            if (isEnded) return
            isEnded = true
            waiting -= number
            val host = owner?.host
            when {
                owner == null -> Unit
                host == null -> scheduler.end(TurnKey(null, number), targetId)
                else -> transport.sendTurn(host, TurnMessage(number, TurnStep.ENDED.number, targetId.value))
            }
        }
    }

    private fun onGranted(key: TurnKey) {
        if (key.host == null) return grant(key.number)
        transport.sendTurn(key.host, TurnMessage(key.number, TurnStep.GRANTED.number))
    }

    private fun onAnswer(number: Long, answer: TurnAnswer) {
        val turn = waiting[number] ?: return
        val nowMillis = clock.nowMillis()
        view.directory.targets[turn.targetId]?.let {
            view.stateOf(it).recordPromptBacklog(answer.backlogMillis, nowMillis)
        }
        if (answer.isGranted) return grant(number)
        if (turn.isAnswered) return
        turn.isAnswered = true
        turn.onQueued()
    }

    private fun grant(number: Long) {
        waiting.remove(number)?.onTurn?.invoke()
    }

    /** Takes in a message of the VM at [senderHost]. */
    fun onMessage(message: TurnMessage, senderHost: String) {
        when (message.step) {
            TurnStep.REQUESTED -> onRequested(message, senderHost)
            TurnStep.QUEUED -> onAnswer(message.number, TurnAnswer(isGranted = false, message.backlogMillis))
            TurnStep.GRANTED -> onGrantMessage(message)
            TurnStep.ENDED -> targetOrNull(message)?.let { scheduler.end(TurnKey(senderHost, message.number), it) }
            null -> Unit
        }
    }

    /** Only an answer to a question tells of a backlog; a turn that has come later does not. */
    private fun onGrantMessage(message: TurnMessage) {
        val isFirstAnswer = waiting[message.number]?.isAnswered == false
        if (isFirstAnswer) onAnswer(message.number, TurnAnswer(isGranted = true, message.backlogMillis))
        grant(message.number)
    }

    private fun onRequested(message: TurnMessage, senderHost: String) {
        val targetId = targetOrNull(message) ?: return
        val memberId = message.memberId.takeIf(::isIdentifier)?.let(::MemberId) ?: return
        val prompt = PendingPrompt(memberId, message.promptTokens.coerceAtLeast(0))
        val answer = scheduler.ask(TurnKey(senderHost, message.number), targetId, prompt, message.waitMillis)
        val step = if (answer.isGranted) TurnStep.GRANTED else TurnStep.QUEUED
        transport.sendTurn(
            senderHost,
            TurnMessage(message.number, step.number, backlogMillis = answer.backlogMillis),
        )
    }

    private fun targetOrNull(message: TurnMessage): TargetId? =
        message.targetId.takeIf(::isIdentifier)?.let(::TargetId)

    /** Sends what has waited long enough, and gives the turns that have come; called every few milliseconds. */
    fun tick() {
        scheduler.tick()
        val nowMillis = clock.nowMillis()
        waiting.filterValues { it.isDue(nowMillis) }.keys.forEach(::grant)
    }
}

private class WaitingTurn(
    val targetId: TargetId,
    private val requestedAtMillis: Long,
    private val sendByMillis: Long,
    val onTurn: () -> Unit,
    val onQueued: () -> Unit,
) {
    var isAnswered = false

    fun isDue(nowMillis: Long): Boolean =
        nowMillis >= sendByMillis || (!isAnswered && nowMillis - requestedAtMillis > OWNER_TIMEOUT_MILLIS)

    private companion object {
        /** After this time a VM that keeps turns counts as silent. */
        const val OWNER_TIMEOUT_MILLIS = 30L
    }
}
