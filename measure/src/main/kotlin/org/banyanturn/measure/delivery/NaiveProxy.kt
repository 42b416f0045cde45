package org.banyanturn.measure.delivery

import org.banyanturn.core.delivery.RefusalReason
import org.banyanturn.core.delivery.RequestOutcome

/** The baseline: a proxy that tries again whatever failed, trusts its connections and ends when it is told to. */
internal class NaiveProxy(private val world: World, private val vm: Int) : Proxy {
    private class Call(
        val request: PlannedRequest,
        val channel: CallerChannel,
        var attempts: Int,
        var hasAnswered: Boolean,
    )

    private val calls = LinkedHashMap<String, Call>()
    private val streamsOf = HashMap<Long, MutableSet<String>>()
    private val connections = HashMap<SimulatedTarget, SimulatedConnection>()
    private var number = 0
    private var isAlive = true

    override val isReady: Boolean get() = isAlive

    override fun accept(request: PlannedRequest, channel: CallerChannel): Unit =
        attempt(Call(request, channel, attempts = 0, hasAnswered = false))

    override fun kill(): Unit = stop(CallerResult.CUT_BY_VM_DEATH)

    override fun shutDown(onExit: () -> Unit) {
        stop(CallerResult.CUT_BY_RESTART)
        onExit()
    }

    private fun stop(result: CallerResult) {
        isAlive = false
        calls.values.toList().forEach { it.channel.reset(result) }
        calls.clear()
    }

    private fun attempt(call: Call) {
        if (!isAlive) return call.channel.reset(CallerResult.CUT_BY_VM_DEATH)
        if (call.attempts == MAX_ATTEMPTS) {
            return call.channel.refuse(RefusalReason.ATTEMPTS_FAILED, RequestOutcome.NOT_RUN)
        }
        call.attempts++
        val targets = if (call.request.kind == RequestKind.BRIEFING) world.engines else world.services
        val target = targets[(vm + number) % targets.size]
        val stream = "naive-$vm-${world.loop.nowMillis}-${number++}"
        val connection = connections.getOrPut(target) { world.connect(target, ::onEvent) }
        calls[stream] = call
        streamsOf.getOrPut(connection.number, ::LinkedHashSet) += stream
        val fault = world.nextFault(call.request.orderId)
        connection.send(SimulatedAttempt(stream, call.request, resumeAtToken = 0, fault, connection))
        world.loop.after(TIMEOUT_MILLIS) { if (stream in calls) drop(connection) }
    }

    private fun onEvent(connection: SimulatedConnection, event: WireEvent) {
        when (event) {
            is WireEvent.Token -> calls[event.stream]?.let {
                it.hasAnswered = true
                it.channel.token(event.text)
            }

            is WireEvent.Finished -> calls.remove(event.attemptId)?.channel?.finish()

            is WireEvent.Answer -> calls.remove(event.attemptId)?.channel?.answer(event.body)

            is WireEvent.Closed -> calls.remove(event.attemptId)?.let(::takeClosed)

            is WireEvent.NotSent -> retry(event.attemptId)

            is WireEvent.StreamReset -> retry(event.attemptId)

            WireEvent.ConnectionReset -> drop(connection)

            WireEvent.ProbeAnswer -> Unit
        }
    }

    private fun takeClosed(call: Call) {
        if (call.request.kind == RequestKind.BRIEFING) call.channel.finish() else call.channel.answer("")
    }

    private fun drop(connection: SimulatedConnection) {
        connection.close()
        connections.remove(connection.target, connection)
        streamsOf.remove(connection.number)?.forEach(::retry)
    }

    private fun retry(stream: String) {
        val call = calls.remove(stream) ?: return
        if (call.hasAnswered) call.channel.reset(CallerResult.CUT) else attempt(call)
    }

    private companion object {
        private const val MAX_ATTEMPTS = 3
        private const val TIMEOUT_MILLIS = 60_000L
    }
}
