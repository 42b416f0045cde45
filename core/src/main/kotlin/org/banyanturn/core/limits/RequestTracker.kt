package org.banyanturn.core.limits

/** Numbers the share requests to the home VM and keeps the send time of each for as long as its lease could last. */
internal class RequestTracker(private val settings: ShareSettings) {
    private val sentAtMillisByNumber = LinkedHashMap<Long, Long>()
    private var lastNumber = 0L
    private var unansweredSinceMillis: Long? = null

    /** When the last request was sent. */
    var lastSentAtMillis = Long.MIN_VALUE / 2
        private set

    /** Send time of the latest request that was answered. */
    var lastAnsweredSentAtMillis = Long.MIN_VALUE
        private set

    /** Records that a request is sent now and returns its number. */
    fun send(nowMillis: Long): Long {
        sentAtMillisByNumber.values.removeIf { nowMillis - it >= settings.leaseMillis }
        lastNumber++
        sentAtMillisByNumber[lastNumber] = nowMillis
        lastSentAtMillis = nowMillis
        if (unansweredSinceMillis == null) unansweredSinceMillis = nowMillis
        return lastNumber
    }

    /** Returns when the request with [number] was sent, or `null` if that is unknown or too long ago. */
    fun sentAtMillisOrNull(number: Long): Long? = sentAtMillisByNumber[number]

    /** Records that the request with [number] was answered. */
    fun markAnswered(number: Long) {
        unansweredSinceMillis = null
        lastAnsweredSentAtMillis = maxOf(lastAnsweredSentAtMillis, sentAtMillisByNumber.getValue(number))
    }

    /** Whether a request is sent and the home has not answered since. */
    val isAwaitingAnswer: Boolean
        get() = unansweredSinceMillis != null

    /** Returns whether the home has not answered within [ShareSettings.answerTimeoutMillis]. */
    fun hasTimedOut(nowMillis: Long): Boolean =
        unansweredSinceMillis?.let { nowMillis - it > settings.answerTimeoutMillis } ?: false

    /** Stops waiting for the answers to earlier requests. */
    fun clearUnanswered() {
        unansweredSinceMillis = null
    }
}
