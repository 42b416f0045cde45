package org.banyanturn.measure.delivery

/** An engine or service that runs attempts, dies, freezes and comes back empty. */
internal class SimulatedTarget(val name: String, private val world: World) {
    private val running = LinkedHashMap<String, SimulatedAttempt>()
    private val connections = LinkedHashSet<SimulatedConnection>()
    private var frozenUntilMillis = 0L

    /** How often the target has died. */
    var life: Int = 0
        private set

    /** Whether the target takes connections. */
    var isUp: Boolean = true
        private set

    /** Ends everything that runs here; the target is back after [downMillis]. */
    fun crash(downMillis: Long) {
        if (!isUp) return
        isUp = false
        life++
        noteFailure()
        running.clear()
        connections.forEach { it.deliver(WireEvent.ConnectionReset) }
        connections.clear()
        world.loop.after(downMillis) { isUp = true }
    }

    /** Stops the target's clock for [durationMillis]. */
    fun freeze(durationMillis: Long) {
        frozenUntilMillis = world.loop.nowMillis + durationMillis
        noteFailure()
    }

    private fun noteFailure() {
        running.values.filter { it.connection.isOpen && it.request.kind != RequestKind.ORDER && !it.request.isPoison }
            .forEach { world.judge.targetFailed(it.request.number, hasTimeLeft = world.hasTimeLeft(it.request)) }
    }

    /** Runs [action] as soon as the target is not frozen, unless it dies before. */
    fun whenAwake(action: () -> Unit) {
        val startedLife = life
        world.loop.at(frozenUntilMillis) {
            when {
                life != startedLife || !isUp -> Unit
                world.loop.nowMillis < frozenUntilMillis -> whenAwake(action)
                else -> action()
            }
        }
    }

    /** Cancels an attempt. */
    fun cancel(attemptId: String) {
        running.remove(attemptId)
    }

    /** Runs an attempt that has arrived. */
    fun run(attempt: SimulatedAttempt) {
        running[attempt.attemptId] = attempt
        connections += attempt.connection
        when {
            attempt.request.isPoison -> later(attempt, POISON_MILLIS) {
                world.judge.crashed(attempt.request.orderId)
                crash(RESTART_MILLIS)
            }

            attempt.request.kind == RequestKind.BRIEFING ->
                later(attempt, FIRST_TOKEN_MILLIS) { generate(attempt, attempt.resumeAtToken) }

            else -> later(attempt, SERVICE_MILLIS) { serve(attempt) }
        }
    }

    private fun later(attempt: SimulatedAttempt, delayMillis: Long, action: () -> Unit) {
        val startedLife = life
        world.loop.after(delayMillis) {
            if (life == startedLife) whenAwake { if (attempt.attemptId in running) action() }
        }
    }

    private fun serve(attempt: SimulatedAttempt) {
        val request = attempt.request
        if (request.kind == RequestKind.ORDER) world.judge.ran(request.orderId)
        val connection = attempt.connection
        when (attempt.fault) {
            LinkFault.LOST_DURING, LinkFault.LOST_AFTER -> connection.deliver(WireEvent.StreamReset(attempt.attemptId))
            LinkFault.SILENT_AFTER -> connection.goSilent()
            LinkFault.CLEAN_CUT -> connection.deliver(WireEvent.Closed(attempt.attemptId))
            else -> connection.deliver(WireEvent.Answer(attempt.attemptId, request.orderId))
        }
        running.remove(attempt.attemptId)
    }

    private fun generate(attempt: SimulatedAttempt, index: Int) {
        val request = attempt.request
        val isHalf = index >= attempt.resumeAtToken + (request.tokens - attempt.resumeAtToken) / 2
        if (isHalf && breakStream(attempt)) return
        if (index >= request.tokens) return finish(attempt)
        sendTokens(attempt, index)
        later(attempt, TOKEN_MILLIS) { generate(attempt, index + 1) }
    }

    private fun breakStream(attempt: SimulatedAttempt): Boolean {
        val connection = attempt.connection
        when (attempt.fault) {
            LinkFault.LOST_DURING -> connection.deliver(WireEvent.StreamReset(attempt.attemptId))
            LinkFault.SILENT_AFTER -> connection.goSilent()
            LinkFault.CLEAN_CUT -> connection.deliver(WireEvent.Closed(attempt.attemptId))
            else -> return false
        }
        running.remove(attempt.attemptId)
        return true
    }

    private fun finish(attempt: SimulatedAttempt) {
        val end = WireEvent.Finished(attempt.attemptId, attempt.request.tokens)
        val event = if (attempt.fault == LinkFault.LOST_AFTER) WireEvent.StreamReset(attempt.attemptId) else end
        attempt.connection.deliver(event)
        running.remove(attempt.attemptId)
    }

    private fun sendTokens(attempt: SimulatedAttempt, index: Int) {
        val connection = attempt.connection
        val token = WireEvent.Token(attempt.attemptId, attempt.attemptId, index, tokenText(attempt.request, index))
        val isFaulty = index == attempt.resumeAtToken + FAULTY_TOKEN
        when {
            isFaulty && attempt.fault == LinkFault.DUPLICATE_CHUNKS -> repeat(2) { connection.deliver(token) }

            isFaulty && attempt.fault == LinkFault.REORDERED_CHUNKS ->
                world.loop.after(TOKEN_MILLIS + 1) { connection.deliver(token) }

            isFaulty && attempt.fault == LinkFault.CROSSED_CHUNKS -> {
                connection.deliver(token.copy(attemptId = "other.1", text = "another caller's text"))
                connection.deliver(token)
            }

            else -> connection.deliver(token)
        }
    }

    companion object {
        private const val POISON_MILLIS = 60L
        private const val FIRST_TOKEN_MILLIS = 150L
        private const val TOKEN_MILLIS = 20L
        private const val SERVICE_MILLIS = 30L
        private const val RESTART_MILLIS = 3_000L
        private const val FAULTY_TOKEN = 3

        /** Returns the token at [index] of the one right answer to [request]. */
        fun tokenText(request: PlannedRequest, index: Int): String = "${request.number}.$index "
    }
}
