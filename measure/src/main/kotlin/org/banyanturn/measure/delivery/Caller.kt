package org.banyanturn.measure.delivery

import org.banyanturn.core.delivery.RefusalReason
import org.banyanturn.core.delivery.RequestOutcome

/** The connection of a caller to a VM for one request. */
internal interface CallerChannel {
    /** Passes on a part of a streamed answer. */
    fun token(text: String)

    /** Says that the streamed answer is whole. */
    fun finish()

    /** Passes on the whole answer of a call. */
    fun answer(body: String)

    /** Refuses the request for good. */
    fun refuse(reason: RefusalReason, outcome: RequestOutcome)

    /** Cuts the connection, for the cause that [result] says. */
    fun reset(result: CallerResult)
}

/** A caller with one request, which it repeats where its answer leaves it no choice. */
internal class Caller(private val world: World, private val request: PlannedRequest) {
    private var repeatsLeft = when {
        request.isPoison -> 4
        request.kind == RequestKind.ORDER -> 3
        else -> 0
    }

    /** Sends the request, and the same again at another VM if that is planned. */
    fun start() {
        submit(world.balance(request.number))
        val secondVm = request.secondVm ?: return
        if (request.kind == RequestKind.ORDER) world.loop.after(1) { submit(world.balance(secondVm)) }
    }

    private fun submit(vm: Proxy) {
        vm.accept(request, Submission())
    }

    private fun repeatOrEnd(result: CallerResult, isInTime: Boolean) {
        world.judge.ended(request.number, result, isInTime)
        if (repeatsLeft == 0) return
        repeatsLeft--
        world.loop.after(REPEAT_MILLIS) { submit(world.balance(request.number + repeatsLeft + 1)) }
    }

    private inner class Submission : CallerChannel {
        private val text = StringBuilder()
        private val deadlineMillis = world.loop.nowMillis + request.timeoutMillis
        private var isOver = false

        override fun token(text: String) {
            this.text.append(text)
        }

        override fun finish(): Unit = end { takeAnswer(text.contentEquals(wholeText())) }

        override fun answer(body: String): Unit = end { takeAnswer(body == request.orderId) }

        override fun refuse(reason: RefusalReason, outcome: RequestOutcome): Unit = end {
            if (request.kind == RequestKind.ORDER) world.judge.refused(request.orderId, outcome)
            val isBlocked = reason == RefusalReason.CRASHES_TARGETS && !request.isPoison
            repeatOrEnd(if (isBlocked) CallerResult.BLOCKED else CallerResult.REFUSED, isInTime())
        }

        override fun reset(result: CallerResult): Unit = end { repeatOrEnd(result, isInTime()) }

        private fun takeAnswer(isRight: Boolean) {
            val result = if (isRight) CallerResult.WHOLE_ANSWER else CallerResult.WRONG_ANSWER
            world.judge.ended(request.number, result, isInTime())
        }

        private fun end(action: () -> Unit) {
            if (isOver) return
            isOver = true
            action()
        }

        private fun isInTime(): Boolean = world.loop.nowMillis <= deadlineMillis + GRACE_MILLIS

        private fun wholeText(): String =
            (0 until request.tokens).joinToString("") { SimulatedTarget.tokenText(request, it) }
    }

    private companion object {
        private const val REPEAT_MILLIS = 500L
        private const val GRACE_MILLIS = 1_000L
    }
}
