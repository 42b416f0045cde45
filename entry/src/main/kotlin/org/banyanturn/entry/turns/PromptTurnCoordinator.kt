package org.banyanturn.entry.turns

import org.banyanturn.core.MemberId
import org.banyanturn.core.TargetId
import org.banyanturn.core.isIdentifier
import org.banyanturn.core.routing.PrefillSpeedEstimator
import org.banyanturn.core.routing.PromptUrgency
import org.banyanturn.core.serving.KnownTarget
import org.banyanturn.daemon.ProcessClock
import org.banyanturn.entry.requests.FleetView

/** The rank of the least urgent requests. */
private const val MAX_RANK = 9

/** Longest time in a [TurnMessage] that is plausible, in milliseconds. */
private const val MAX_TURN_MILLIS = 3_600_000L

/** Represents a request's turn to send its prompt to an engine. */
internal interface PromptTurn {
    /**
     * Waits for the turn; must be called at most once.
     *
     * Calls [onTurn] when the prompt may be sent, which may be immediately. If other prompts are ahead in the queue,
     * [onQueued] is called first.
     */
    fun await(onTurn: () -> Unit, onQueued: () -> Unit)

    /** Ends the turn because the engine has processed the prompt or the prompt won't be sent. */
    fun end()
}

/** Identifies the VM that schedules the turns at an engine; [host] is `null` if it is this VM. */
internal class TurnOwner(val host: String?)

/** Locates the VMs that schedule turns, and sends turn messages between VMs. */
internal interface TurnTransport {
    /** Returns the VM that schedules the turns at [targetId], or `null` if none is known. */
    fun turnOwnerOrNull(targetId: TargetId): TurnOwner?

    /** Sends [message] to the VM at [host]. */
    fun sendTurn(host: String, message: TurnMessage)
}

/**
 * Acquires turns for the prompts of this VM's requests, and schedules the turns at the engines that this VM owns.
 *
 * All VMs request turns from the owner of an engine, the only VM that knows what the others send there. Only the pauses
 * of streams depend on turns: if the owner does not respond, the prompt is sent without a turn, so two owners or none
 * affect nothing else.
 */
internal class PromptTurnCoordinator(
    private val view: FleetView,
    private val clock: ProcessClock,
    prefillSpeed: PrefillSpeedEstimator,
) {
    private val numbers = generateSequence(1L) { it + 1 }.iterator()
    private val scheduler = PromptTurnScheduler(view, clock, prefillSpeed, ::onGranted)
    private val waiting = LinkedHashMap<Long, WaitingTurn>()

    /** Sends messages to other VMs. */
    lateinit var transport: TurnTransport

    /** Whether this VM waits for turns or schedules any. */
    val isBusy: Boolean
        get() = waiting.isNotEmpty() || scheduler.isBusy

    /** Returns a turn for [prompt] at [target] that is granted by [sendByMillis] at the latest. */
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
                host == null -> onAnswer(number, scheduler.submit(TurnKey(null, number), targetId, prompt, waitMillis))
                else -> requestFrom(host, waitMillis)
            }
        }

        private fun requestFrom(host: String, waitMillis: Long) {
            val urgency = prompt.urgency
            transport.sendTurn(
                host,
                TurnMessage(
                    number,
                    TurnStep.REQUESTED.number,
                    targetId.value,
                    prompt.tokens,
                    waitMillis,
                    memberId = prompt.memberId.value,
                    rank = urgency?.rank ?: TurnMessage.UNKNOWN_RANK,
                    onTimeInMillis = urgency?.let { it.onTimeByMillis - clock.nowMillis() } ?: 0,
                    workMillis = urgency?.workMillis?.toLong() ?: 0,
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

    /** Handles a message from the VM at [senderHost]. */
    fun onMessage(message: TurnMessage, senderHost: String) {
        when (message.step) {
            TurnStep.REQUESTED -> onRequested(message, senderHost)
            TurnStep.QUEUED -> onAnswer(message.number, TurnAnswer(isGranted = false, message.backlogMillis))
            TurnStep.GRANTED -> onGrantMessage(message)
            TurnStep.ENDED -> targetOrNull(message)?.let { scheduler.end(TurnKey(senderHost, message.number), it) }
            null -> Unit
        }
    }

    /** Handles a grant; only the first answer to a request carries the backlog, a grant after queueing does not. */
    private fun onGrantMessage(message: TurnMessage) {
        val isFirstAnswer = waiting[message.number]?.isAnswered == false
        if (isFirstAnswer) onAnswer(message.number, TurnAnswer(isGranted = true, message.backlogMillis))
        grant(message.number)
    }

    private fun onRequested(message: TurnMessage, senderHost: String) {
        val targetId = targetOrNull(message) ?: return
        val memberId = message.memberId.takeIf(::isIdentifier)?.let(::MemberId) ?: return
        val prompt = PendingPrompt(memberId, message.promptTokens.coerceAtLeast(0), urgencyOrNull(message))
        val answer = scheduler.submit(TurnKey(senderHost, message.number), targetId, prompt, message.waitMillis)
        val step = if (answer.isGranted) TurnStep.GRANTED else TurnStep.QUEUED
        transport.sendTurn(
            senderHost,
            TurnMessage(message.number, step.number, backlogMillis = answer.backlogMillis),
        )
    }

    /** Returns the urgency in [message], with values of other VMs limited to plausible ones, or `null` without one. */
    private fun urgencyOrNull(message: TurnMessage): PromptUrgency? {
        if (message.rank < 0) return null
        return PromptUrgency(
            message.rank.coerceAtMost(MAX_RANK),
            clock.nowMillis() + message.onTimeInMillis.coerceIn(-MAX_TURN_MILLIS, MAX_TURN_MILLIS),
            message.workMillis.coerceIn(0, MAX_TURN_MILLIS).toDouble(),
        )
    }

    private fun targetOrNull(message: TurnMessage): TargetId? =
        message.targetId.takeIf(::isIdentifier)?.let(::TargetId)

    /**
     * Grants the turns that are due at engines of this VM, and those whose time limit has passed or whose engine's zone
     * is evacuated, so that their requests choose again.
     *
     * Called every few milliseconds.
     */
    fun tick() {
        scheduler.tick()
        val nowMillis = clock.nowMillis()
        waiting.filterValues { it.isDue(nowMillis) || view.isEvacuated(it.targetId) }.keys.forEach(::grant)
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
        /** Time without an answer from the owner after which the prompt is sent without a grant. */
        const val OWNER_TIMEOUT_MILLIS = 30L
    }
}
