package org.banyanturn.core.routing

import org.banyanturn.core.TargetId
import org.junit.jupiter.api.Assertions.assertEquals
import org.junit.jupiter.api.Assertions.assertFalse
import org.junit.jupiter.api.Assertions.assertTrue
import org.junit.jupiter.api.Test

private const val FIRST_INCARNATION = 1_000L
private const val SECOND_INCARNATION = 2_000L

class TargetNoticeTrackerTest {
    private val tracker =
        TargetNoticeTracker(TargetNoticeSettings(maxQuietMillis = 60_000, leavingRetentionMillis = 90_000))
    private val target = TargetId("i-1")

    private fun quiet(millis: Long) = TargetNotice(isLeaving = false, quietMillis = millis)

    @Test
    fun `a leaving notice applies until a new incarnation of the target is listed`() {
        assertTrue(tracker.record(target, FIRST_INCARNATION, TargetNotice(isLeaving = true, quietMillis = null), 0))
        assertFalse(tracker.record(target, FIRST_INCARNATION, TargetNotice(isLeaving = true, quietMillis = null), 10))
        assertFalse(tracker.record(target, FIRST_INCARNATION, TargetNotice(isLeaving = false, quietMillis = null), 20))
        assertTrue(tracker.isLeaving(target, FIRST_INCARNATION), "an answer without the notice does not revoke it")
        assertFalse(tracker.isLeaving(target, SECOND_INCARNATION))
        assertFalse(tracker.isLeaving(TargetId("i-2"), FIRST_INCARNATION))
    }

    @Test
    fun `a leaving notice applies to a target without a listed start time`() {
        tracker.record(target, null, TargetNotice(isLeaving = true, quietMillis = null), 0)
        assertTrue(tracker.isLeaving(target, null))
        assertFalse(tracker.isLeaving(target, FIRST_INCARNATION))
    }

    @Test
    fun `a quiet notice applies until its time is over`() {
        assertTrue(tracker.record(target, FIRST_INCARNATION, quiet(1_500), 100))
        assertEquals(1_500, tracker.remainingQuietMillis(target, FIRST_INCARNATION, 100))
        assertEquals(1, tracker.remainingQuietMillis(target, FIRST_INCARNATION, 1_599))
        assertEquals(0, tracker.remainingQuietMillis(target, FIRST_INCARNATION, 1_600))
        assertEquals(0, tracker.remainingQuietMillis(target, SECOND_INCARNATION, 200), "a new incarnation")
    }

    @Test
    fun `a later quiet notice extends the time but does not shorten it`() {
        tracker.record(target, FIRST_INCARNATION, quiet(2_000), 0)
        assertFalse(tracker.record(target, FIRST_INCARNATION, quiet(500), 100))
        assertEquals(1_900, tracker.remainingQuietMillis(target, FIRST_INCARNATION, 100))
        tracker.record(target, FIRST_INCARNATION, quiet(5_000), 100)
        assertEquals(5_000, tracker.remainingQuietMillis(target, FIRST_INCARNATION, 100))
    }

    @Test
    fun `a quiet time is limited to its maximum and a quiet time of zero is ignored`() {
        tracker.record(target, FIRST_INCARNATION, quiet(Long.MAX_VALUE), 0)
        assertEquals(60_000, tracker.remainingQuietMillis(target, FIRST_INCARNATION, 0))
        assertFalse(tracker.record(TargetId("i-2"), FIRST_INCARNATION, quiet(0), 0))
    }

    @Test
    fun `expired leaving notices are removed`() {
        tracker.record(target, FIRST_INCARNATION, TargetNotice(isLeaving = true, quietMillis = null), 0)
        tracker.record(TargetId("i-2"), FIRST_INCARNATION, TargetNotice(isLeaving = true, quietMillis = null), 100_000)
        assertFalse(tracker.isLeaving(target, FIRST_INCARNATION))
    }
}
