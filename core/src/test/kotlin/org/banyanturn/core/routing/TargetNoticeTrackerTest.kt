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
    fun `a target that says that it leaves is known to leave until a new life of it is listed`() {
        assertTrue(tracker.record(target, FIRST_INCARNATION, TargetNotice(isLeaving = true, quietMillis = null), 0))
        assertFalse(tracker.record(target, FIRST_INCARNATION, TargetNotice(isLeaving = true, quietMillis = null), 10))
        assertFalse(tracker.record(target, FIRST_INCARNATION, TargetNotice(isLeaving = false, quietMillis = null), 20))
        assertTrue(tracker.isLeaving(target, FIRST_INCARNATION), "an answer that does not say so takes nothing back")
        assertFalse(tracker.isLeaving(target, SECOND_INCARNATION))
        assertFalse(tracker.isLeaving(TargetId("i-2"), FIRST_INCARNATION))
    }

    @Test
    fun `a target whose entry names no birth leaves all the same`() {
        tracker.record(target, null, TargetNotice(isLeaving = true, quietMillis = null), 0)
        assertTrue(tracker.isLeaving(target, null))
        assertFalse(tracker.isLeaving(target, FIRST_INCARNATION))
    }

    @Test
    fun `a target that wants no requests gets none until its time is over`() {
        assertTrue(tracker.record(target, FIRST_INCARNATION, quiet(1_500), 100))
        assertEquals(1_500, tracker.remainingQuietMillis(target, FIRST_INCARNATION, 100))
        assertEquals(1, tracker.remainingQuietMillis(target, FIRST_INCARNATION, 1_599))
        assertEquals(0, tracker.remainingQuietMillis(target, FIRST_INCARNATION, 1_600))
        assertEquals(0, tracker.remainingQuietMillis(target, SECOND_INCARNATION, 200), "a new life")
    }

    @Test
    fun `a later and shorter notice does not shorten the quiet, and a longer one extends it`() {
        tracker.record(target, FIRST_INCARNATION, quiet(2_000), 0)
        assertFalse(tracker.record(target, FIRST_INCARNATION, quiet(500), 100))
        assertEquals(1_900, tracker.remainingQuietMillis(target, FIRST_INCARNATION, 100))
        tracker.record(target, FIRST_INCARNATION, quiet(5_000), 100)
        assertEquals(5_000, tracker.remainingQuietMillis(target, FIRST_INCARNATION, 100))
    }

    @Test
    fun `a time beyond the bound is cut to it, and none at all asks for nothing`() {
        tracker.record(target, FIRST_INCARNATION, quiet(Long.MAX_VALUE), 0)
        assertEquals(60_000, tracker.remainingQuietMillis(target, FIRST_INCARNATION, 0))
        assertFalse(tracker.record(TargetId("i-2"), FIRST_INCARNATION, quiet(0), 0))
    }

    @Test
    fun `old notices of targets that are gone are forgotten`() {
        tracker.record(target, FIRST_INCARNATION, TargetNotice(isLeaving = true, quietMillis = null), 0)
        tracker.record(TargetId("i-2"), FIRST_INCARNATION, TargetNotice(isLeaving = true, quietMillis = null), 100_000)
        assertFalse(tracker.isLeaving(target, FIRST_INCARNATION))
    }
}
