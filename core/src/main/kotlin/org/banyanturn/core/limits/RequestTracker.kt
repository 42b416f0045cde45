package org.banyanturn.core.limits

/** Numbers the requests to the home and remembers when each was sent, for as long as its lease could last. */
internal class RequestTracker(private val settings: ShareSettings) {
    private val sentAtMillisByNumber = LinkedHashMap<Long, Long>()
    private var lastNumber = 0L
    private var unansweredSinceMillis: Long? = null

    /** When the last request was sent. */
    var lastSentAtMillis = Long.MIN_VALUE / 2
        private set

    /** When the latest request that has been answered was sent. */
    var lastAnsweredSentAtMillis = Long.MIN_VALUE
        private set

    /** Returns the number of a request that is sent now. */
    fun send(nowMillis: Long): Long {
        sentAtMillisByNumber.values.removeIf { nowMillis - it >= settings.leaseMillis }
        lastNumber++
        sentAtMillisByNumber[lastNumber] = nowMillis
        lastSentAtMillis = nowMillis
        if (unansweredSinceMillis == null) unansweredSinceMillis = nowMillis
        return lastNumber
    }

    fun sentAtMillisOrNull(number: Long): Long? = sentAtMillisByNumber[number]

    fun markAnswered(number: Long) {
        unansweredSinceMillis = null
        lastAnsweredSentAtMillis = maxOf(lastAnsweredSentAtMillis, sentAtMillisByNumber.getValue(number))
    }

    /** Whether a request is unanswered. */
    val isAwaitingAnswer: Boolean
        get() = unansweredSinceMillis != null

    /** Returns whether the home has left a request unanswered for too long. */
    fun hasTimedOut(nowMillis: Long): Boolean =
        unansweredSinceMillis?.let { nowMillis - it > settings.answerTimeoutMillis } ?: false

    fun clearUnanswered() {
        unansweredSinceMillis = null
    }
}
