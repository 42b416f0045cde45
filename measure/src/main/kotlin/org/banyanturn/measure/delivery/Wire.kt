package org.banyanturn.measure.delivery

import kotlin.math.roundToLong

/** What comes through a connection from a target. */
internal sealed interface WireEvent {
    /** A token that came on the stream of an attempt; [attemptId] is the attempt that it says it belongs to. */
    data class Token(val stream: String, val attemptId: String, val index: Int, val text: String) : WireEvent

    /** The end of a streamed answer. */
    data class Finished(val attemptId: String, val tokenCount: Int) : WireEvent

    /** The whole answer of a call. */
    data class Answer(val attemptId: String, val body: String) : WireEvent

    /** The attempt's stream was closed without an error and without an end. */
    data class Closed(val attemptId: String) : WireEvent

    /** The attempt was not sent: the target takes no connection. */
    data class NotSent(val attemptId: String) : WireEvent

    /** The attempt's stream was reset. */
    data class StreamReset(val attemptId: String) : WireEvent

    /** The connection was reset, with all that ran on it. */
    data object ConnectionReset : WireEvent

    /** The answer to a keep-alive probe. */
    data object ProbeAnswer : WireEvent
}

/** One attempt to run a request on a target. */
internal class SimulatedAttempt(
    val attemptId: String,
    val request: PlannedRequest,
    val resumeAtToken: Int,
    val fault: LinkFault,
    val connection: SimulatedConnection,
)

/** A connection of a VM to a target. */
internal class SimulatedConnection(
    val number: Long,
    val target: SimulatedTarget,
    private val world: World,
    private val onEvent: (SimulatedConnection, WireEvent) -> Unit,
) {
    private var isSilent = false
    private var silentSinceMillis: Long? = null

    /** Whether the connection may still be used. */
    var isOpen: Boolean = true
        private set

    /** Sends [attempt]; whatever comes of it is reported as an event. */
    fun send(attempt: SimulatedAttempt) {
        if (attempt.fault == LinkFault.SILENT_BEFORE) goSilent()
        if (isSilent) return noteSilentUse()
        world.loop.after(delayMillis) {
            when {
                !target.isUp -> deliver(WireEvent.NotSent(attempt.attemptId))
                attempt.fault == LinkFault.LOST_BEFORE -> deliver(WireEvent.StreamReset(attempt.attemptId))
                else -> target.run(attempt)
            }
        }
    }

    /** Sends a keep-alive probe. */
    fun probe() {
        if (!isSilent) world.loop.after(delayMillis) { target.whenAwake { deliver(WireEvent.ProbeAnswer) } }
    }

    /** Loses track of the connection, at both ends' expense. */
    fun goSilent() {
        isSilent = true
        noteSilentUse()
    }

    /** Closes the connection at the VM's end. */
    fun close() {
        if (!isOpen) return
        isOpen = false
        silentSinceMillis?.let { world.judge.leftSilent(world.loop.nowMillis - it) }
    }

    /** Brings [event] to the VM, unless the connection is silent or closed by then. */
    fun deliver(event: WireEvent) {
        world.loop.after(delayMillis) { if (!isSilent && isOpen) onEvent(this, event) }
    }

    private fun noteSilentUse() {
        if (silentSinceMillis == null) silentSinceMillis = world.loop.nowMillis
    }

    private val delayMillis: Long get() = world.schedule.deployment.zoneDelayMillis.roundToLong()
}
