package org.banyanturn.core.limits

/** Number of latest reports whose grants are accepted. */
private const val MAX_OPEN_REPORTS = 64

/** Numbers the reports of a VM on one member, and tracks which of them the collector has answered. */
internal class ReportExchange {
    private val sentAtMillisByNumber = LinkedHashMap<Long, Long>()
    private var lastNumber = 0L

    /** Number of the report whose grant was applied last, or 0. */
    var appliedNumber = 0L
        private set

    /** When the report was sent whose grant was applied last. */
    var appliedSentAtMillis = Long.MIN_VALUE
        private set

    /** When the oldest report was sent that was not answered, if no later one was; otherwise `null`. */
    val unansweredSinceMillis: Long?
        get() = firstOpenAtMillis
    private var firstOpenAtMillis: Long? = null

    /** When the last report was sent, or [Long.MIN_VALUE]. */
    var lastReportMillis = Long.MIN_VALUE
        private set

    /** Returns the time since the last report, or [Long.MAX_VALUE] if there is none. */
    fun sinceReportMillis(nowMillis: Long): Long =
        if (lastReportMillis == Long.MIN_VALUE) Long.MAX_VALUE else nowMillis - lastReportMillis

    /** Returns the number of a report that is sent now. */
    fun nextNumber(nowMillis: Long): Long {
        lastNumber++
        lastReportMillis = nowMillis
        if (firstOpenAtMillis == null) firstOpenAtMillis = nowMillis
        sentAtMillisByNumber[lastNumber] = nowMillis
        if (sentAtMillisByNumber.size > MAX_OPEN_REPORTS) sentAtMillisByNumber.remove(sentAtMillisByNumber.keys.first())
        return lastNumber
    }

    /** Returns when the report [number] was sent and marks it as answered; `null` if it is outdated or unknown. */
    fun applyOrNull(number: Long): Long? {
        if (number <= appliedNumber) return null
        val sentAtMillis = sentAtMillisByNumber[number] ?: return null
        appliedNumber = number
        appliedSentAtMillis = sentAtMillis
        sentAtMillisByNumber.keys.removeIf { it <= number }
        firstOpenAtMillis = sentAtMillisByNumber.values.firstOrNull()
        return sentAtMillis
    }
}
