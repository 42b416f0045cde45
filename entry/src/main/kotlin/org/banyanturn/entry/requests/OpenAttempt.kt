package org.banyanturn.entry.requests

import io.netty.buffer.ByteBuf
import io.netty.buffer.ByteBufAllocator
import io.netty.buffer.Unpooled
import io.netty.handler.codec.http.HttpResponse
import org.banyanturn.core.delivery.AnswerEnd
import org.banyanturn.core.delivery.AnswerFraming
import org.banyanturn.core.delivery.AttemptEvidence
import org.banyanturn.core.delivery.AttemptId
import org.banyanturn.core.delivery.StreamProgress
import org.banyanturn.core.delivery.answerEnd
import org.banyanturn.core.placement.CopyName
import org.banyanturn.core.serving.KnownTarget
import org.banyanturn.daemon.logs.Event
import org.banyanturn.daemon.logs.field
import org.banyanturn.entry.http.AttemptFailure
import org.banyanturn.entry.http.AttemptFailureKind
import org.banyanturn.entry.http.AttemptListener
import org.banyanturn.entry.http.TargetAttempt
import org.banyanturn.entry.turns.PromptTurn
import org.banyanturn.platform.hosted.TargetAnswerHeaders
import org.banyanturn.platform.hosted.isMisdirected
import org.banyanturn.platform.hosted.readTargetAnswerHeaders
import java.util.concurrent.TimeUnit

/**
 * Represents one attempt to run a request at [target]; reads the response and reports the result to [receiver].
 *
 * @property callerAttemptId the attempt id that the target's response must carry, or `null` if the caller sent none.
 * @property turn the turn of the prompt, which ends when the response begins, or `null` if the prompt has none.
 */
internal class OpenAttempt(
    val attemptId: AttemptId,
    val target: KnownTarget,
    private val copy: CopyName?,
    private val promptTokens: Long,
    private val environment: RequestEnvironment,
    private val receiver: ResponseReceiver,
    private val sentAtMillis: Long,
    private val callerAttemptId: String?,
    private val turn: PromptTurn?,
) : AttemptListener, AnswerHolder, PacedEventReceiver {
    private val state = environment.view.stateOf(target)
    private val limits = environment.answerLimits
    private var targetAttempt: TargetAttempt? = null
    private var isSettled = false
    private var head: HttpResponse? = null
    private var responseHeaders: TargetAnswerHeaders? = null
    private var body: ByteBuf? = null
    private val events = PacedEvents(this) { environment.loop.schedule(it, 0, TimeUnit.NANOSECONDS) }
    private var isReadingWanted = true
    private var wasHeldBack = false

    /** The number of complete events that the stream has brought. */
    var eventCount = 0
        private set

    /** Whether the connection was lost, or the target broke its stream off, after the request was sent. */
    var isLost = false
        private set

    /** Whether the response was a success that its framing states to be complete. */
    var isProvenComplete = false
        private set

    /** The time until the first part of the response, in milliseconds; 0 until it has arrived. */
    var firstPartMillis = 0L
        private set

    /** The time at which the first part of the response arrived. */
    val beganMillis: Long
        get() = sentAtMillis + firstPartMillis

    /** The head of the response; must not be read before the response has begun. */
    val responseHead: HttpResponse
        get() = checkNotNull(head) { "the response has not begun" }

    private val isStreaming: Boolean
        get() = receiver.isStream && responseHead.status().code() == STATUS_OK

    /** Sets the [started] attempt on the connection. */
    fun begin(started: TargetAttempt) {
        targetAttempt = started
    }

    /** Returns the time since the attempt was sent, in milliseconds. */
    fun elapsedMillis(): Long = environment.clock.nowMillis() - sentAtMillis

    /** Cancels the attempt, which also signals to the target that its response is no longer needed. */
    fun cancel() {
        if (isSettled) return
        settle()
        targetAttempt?.cancel()
        releaseBody()
    }

    /** Stops or resumes reading the response. */
    fun setReading(isReading: Boolean) {
        isReadingWanted = isReading
        if (!isReading) wasHeldBack = true
        updateReading()
    }

    private fun updateReading() {
        targetAttempt?.setReading(isReadingWanted && !events.isPaused)
    }

    override fun onHead(response: HttpResponse) {
        val headers = readTargetAnswerHeaders(response.status().code(), response.headers())
        head = response
        responseHeaders = headers
        firstPartMillis = elapsedMillis()
        turn?.end()
        if (environment.view.recordResponse(target)) logReachability(Event.TARGET_REACHED)
        environment.metrics.firstPart(firstPartMillis)
        if (!headers.isNotRun && copy != null) environment.prefillSpeed.record(promptTokens, firstPartMillis)
        environment.notices.onNotice(target, headers.notice, headers.unreadable)
        headers.coldMillis?.let { environment.coldTargets.onColdResponse(target, it) }
        headers.load?.let { environment.speeds.onReport(target, it) }
    }

    override fun onBody(content: ByteBuf) {
        if (isSettled) return
        if (isStreaming) events.add(content) else collect(content)
        recordMemory()
    }

    private fun recordMemory() {
        if (!isSettled) environment.answerMemory.hold(this, bufferedBytes())
    }

    /** Returns the memory that the buffers take, which may be twice what they hold. */
    private fun bufferedBytes(): Long = events.bufferBytes + (body?.capacity()?.toLong() ?: 0)

    override val acceptsEvents: Boolean
        get() = !isSettled && eventCount <= limits.maxEvents

    override fun onEvent(event: StreamEvent) {
        eventCount++
        receiver.onStreamPart(this, event)
    }

    override fun onEventsEnd() {
        receiver.onStreamPartsEnd()
        if (!events.isPaused && events.partialBytes > limits.maxEventBytes) giveUp("an event without end")
        if (eventCount > limits.maxEvents) giveUp("a stream without end")
        recordMemory()
    }

    override fun onPause(isPaused: Boolean): Unit = updateReading()

    /** Copies [content], since a part of it would keep the whole buffer into which it was read. */
    private fun collect(content: ByteBuf) {
        val collected = body ?: ByteBufAllocator.DEFAULT.buffer(content.readableBytes()).also { body = it }
        if (collected.readableBytes() + content.readableBytes() > limits.maxBodyBytes) {
            return giveUp("an answer without end")
        }
        collected.writeBytes(content)
    }

    override fun onEnd(framing: AnswerFraming): Unit = events.afterEvents { end(framing) }

    private fun end(framing: AnswerFraming) {
        if (isSettled) return
        if (framing == AnswerFraming.CONNECTION) {
            receiver.decisionLog.endedByClose(
                attemptId.value,
                target.entry.targetId.value,
                eventCount,
                events.partialBytes,
            )
        }
        val headers = checkNotNull(responseHeaders) { "the response ended before its head" }
        val code = responseHead.status().code()
        val end = endOf(framing)
        isProvenComplete = code in SUCCESS && end == AnswerEnd.COMPLETE
        settle()
        when {
            headers.isNotRun -> handleNotRun(code)
            code in SUCCESS && !headers.isSigned -> fail(AttemptEvidence.UNKNOWN, "a success without signature")
            end == AnswerEnd.BROKEN_OFF -> failBrokenStream()
            isStreaming -> succeed(::endStream)
            code in SUCCESS -> succeed { receiver.onResponse(this, takeResponse()) }
            else -> handleErrorStatus(code)
        }
        environment.waitQueue.dispatch()
    }

    /** Ends a complete stream; its duration tells the target's speed unless the stream was held back here. */
    private fun endStream() {
        if (!wasHeldBack) environment.speeds.onStreamEnd(target, eventCount, elapsedMillis() - firstPartMillis)
        receiver.onStreamEnd(this)
    }

    private fun endOf(framing: AnswerFraming): AnswerEnd =
        framing.answerEnd(if (isStreaming) streamProgress() else null)

    private fun streamProgress() = StreamProgress(eventCount, events.partialBytes)

    private fun failBrokenStream() {
        isLost = true
        recordFailure()
        fail(AttemptEvidence.UNKNOWN, "the stream broke off after $eventCount events")
    }

    private fun succeed(deliver: () -> Unit) {
        state.breaker =
            state.breaker.firstTokenReceived(firstPartMillis.toDouble(), null, environment.clock.nowMillis())
        deliver()
    }

    private fun handleNotRun(code: Int) {
        if (isMisdirected(code) && copy != null) environment.view.recordCopyPresence(target, copy, isPresent = false)
        fail(AttemptEvidence.REFUSED, "not run, status $code")
    }

    /**
     * Handles an error response of the target after a run.
     *
     * A server error is retried if the request may run again. Other error responses are forwarded to the caller, except
     * those from which the caller of a non-retryable request would conclude that it has not run.
     */
    private fun handleErrorStatus(code: Int) {
        if (code >= FIRST_SERVER_ERROR) recordFailure()
        val impliesNotRun = code in NOT_RUN_STATUSES
        when {
            receiver.isRetryable && code >= FIRST_SERVER_ERROR ->
                fail(AttemptEvidence.RAN, "status $code", takeResponse())

            impliesNotRun && !receiver.isRetryable -> fail(AttemptEvidence.RAN, "status $code after a run")

            else -> receiver.onResponse(this, takeResponse())
        }
    }

    /** Gives up the attempt for a fault of the target, such as a response that exceeds its limits. */
    override fun giveUp(reason: String) {
        if (isSettled) return
        settle()
        targetAttempt?.cancel()
        recordFailure()
        fail(AttemptEvidence.UNKNOWN, reason)
        environment.waitQueue.dispatch()
    }

    private fun takeResponse(): TargetResponse {
        val content = body ?: Unpooled.EMPTY_BUFFER
        body = null
        return TargetResponse(responseHead.status().code(), responseHead.headers(), content)
    }

    override fun onFailure(failure: AttemptFailure): Unit = events.afterEvents { handleFailure(failure) }

    private fun handleFailure(failure: AttemptFailure) {
        if (isSettled) return
        settle()
        if (failure.kind != AttemptFailureKind.NOT_PERMITTED) recordFailure()
        isLost = failure.wasSent && failure.kind == AttemptFailureKind.BROKEN
        val evidence = if (failure.wasSent) AttemptEvidence.UNKNOWN else AttemptEvidence.NOT_SENT
        if (failure.kind == AttemptFailureKind.CONNECT) recordConnectionRefused()
        if (failure.kind == AttemptFailureKind.CONNECT_TIMEOUT) recordConnectTimeout()
        fail(evidence, failure.reason)
        environment.waitQueue.dispatch()
    }

    private fun recordConnectionRefused() {
        environment.connectionPool.closeIdle(target.socketAddress)
        if (environment.view.recordConnectionRefused(target)) logReachability(Event.TARGET_OUT_OF_REACH)
        environment.onTargetDead(target)
    }

    /** Records a connect timeout, unless it fired so late that this VM was paused and the target may be reachable. */
    private fun recordConnectTimeout() {
        environment.connectionPool.closeIdle(target.socketAddress)
        if (elapsedMillis() > MAX_CONNECT_MILLIS) return
        if (environment.view.recordConnectTimeout(target)) logReachability(Event.TARGET_OUT_OF_REACH)
    }

    private fun logReachability(event: Event): Unit =
        environment.log.write(
            event,
            field("target", target.entry.targetId),
            field("zone", target.entry.zoneId),
            field("request", callerAttemptId),
            field("elapsedMillis", elapsedMillis()),
        )

    private fun fail(evidence: AttemptEvidence, reason: String, errorResponse: TargetResponse? = null) {
        receiver.decisionLog.attemptFailed(attemptId.value, target.entry.targetId.value, evidence, reason)
        releaseBody()
        receiver.onFailed(this, evidence, errorResponse)
    }

    private fun recordFailure() {
        state.breaker = state.breaker.failed(environment.clock.nowMillis())
    }

    private fun settle() {
        isSettled = true
        environment.answerMemory.hold(this, 0)
        turn?.end()
        state.load = state.load.ended(attemptId.value, environment.clock.nowMillis())
        state.ledger = state.ledger.ended(attemptId.value)
        state.onAttemptEnded(copy)
    }

    private fun releaseBody() {
        body?.release()
        body = null
    }

    private companion object {
        const val STATUS_OK = 200
        const val FIRST_SERVER_ERROR = 500

        /** Twice the connect timeout; a later timeout is attributed to a pause of this VM. */
        const val MAX_CONNECT_MILLIS = 800L
        val SUCCESS = 200..299

        /** Statuses from which a caller concludes that its request has not run. */
        val NOT_RUN_STATUSES = setOf(408, 421, 429, 503)
    }
}
