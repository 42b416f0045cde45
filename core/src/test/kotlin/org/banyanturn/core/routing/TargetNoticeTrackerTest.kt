package org.banyanturn.core.routing

import org.banyanturn.core.TargetId
import org.junit.jupiter.api.Assertions.assertEquals
import org.junit.jupiter.api.Assertions.assertFalse
import org.junit.jupiter.api.Assertions.assertTrue
import org.junit.jupiter.api.Test

private const val FIRST_LIFE = 1_000L
private const val SECOND_LIFE = 2_000L

class TargetNoticeTrackerTest {
    private val notices =
        TargetNoticeTracker(TargetNoticeSettings(maxQuietMillis = 60_000, leavingRetentionMillis = 90_000))
    private val target = TargetId("i-1")

    private fun quiet(millis: Long) = TargetNotice(isLeaving = false, quietMillis = millis)

    @Test
    fun `a target that says that it leaves is known to leave until a new life of it is listed`() {
        assertTrue(notices.record(target, FIRST_LIFE, TargetNotice(isLeaving = true, quietMillis = null), 0))
        assertFalse(notices.record(target, FIRST_LIFE, TargetNotice(isLeaving = true, quietMillis = null), 10))
        assertFalse(notices.record(target, FIRST_LIFE, TargetNotice(isLeaving = false, quietMillis = null), 20))
        assertTrue(notices.isLeaving(target, FIRST_LIFE), "an answer that does not say so takes nothing back")
        assertFalse(notices.isLeaving(target, SECOND_LIFE))
        assertFalse(notices.isLeaving(TargetId("i-2"), FIRST_LIFE))
    }

    @Test
    fun `a target whose entry names no birth leaves all the same`() {
        notices.record(target, null, TargetNotice(isLeaving = true, quietMillis = null), 0)
        assertTrue(notices.isLeaving(target, null))
        assertFalse(notices.isLeaving(target, FIRST_LIFE))
    }

    @Test
    fun `a target that wants no requests gets none until its time is over`() {
        assertTrue(notices.record(target, FIRST_LIFE, quiet(1_500), 100))
        assertEquals(1_500, notices.remainingQuietMillis(target, FIRST_LIFE, 100))
        assertEquals(1, notices.remainingQuietMillis(target, FIRST_LIFE, 1_599))
        assertEquals(0, notices.remainingQuietMillis(target, FIRST_LIFE, 1_600))
        assertEquals(0, notices.remainingQuietMillis(target, SECOND_LIFE, 200), "a new life")
    }

    @Test
    fun `a later and shorter notice does not shorten the quiet, and a longer one extends it`() {
        notices.record(target, FIRST_LIFE, quiet(2_000), 0)
        assertFalse(notices.record(target, FIRST_LIFE, quiet(500), 100))
        assertEquals(1_900, notices.remainingQuietMillis(target, FIRST_LIFE, 100))
        notices.record(target, FIRST_LIFE, quiet(5_000), 100)
        assertEquals(5_000, notices.remainingQuietMillis(target, FIRST_LIFE, 100))
    }

    @Test
    fun `a time beyond the bound is cut to it, and none at all asks for nothing`() {
        notices.record(target, FIRST_LIFE, quiet(Long.MAX_VALUE), 0)
        assertEquals(60_000, notices.remainingQuietMillis(target, FIRST_LIFE, 0))
        assertFalse(notices.record(TargetId("i-2"), FIRST_LIFE, quiet(0), 0))
    }

    @Test
    fun `old notices of targets that are gone are forgotten`() {
        notices.record(target, FIRST_LIFE, TargetNotice(isLeaving = true, quietMillis = null), 0)
        notices.record(TargetId("i-2"), FIRST_LIFE, TargetNotice(isLeaving = true, quietMillis = null), 100_000)
        assertFalse(notices.isLeaving(target, FIRST_LIFE))
    }
}
