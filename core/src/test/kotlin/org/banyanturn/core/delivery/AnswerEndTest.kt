package org.banyanturn.core.delivery

import org.junit.jupiter.api.Assertions.assertEquals
import org.junit.jupiter.api.Test

/** Guards against broken answers that count as complete. */
class AnswerEndTest {
    @Test
    fun `a stream that stops inside an event is broken off in every framing`() {
        AnswerFraming.entries.forEach {
            assertEquals(AnswerEnd.BROKEN_OFF, it.answerEnd(StreamProgress(events = 0, partialBytes = 1)), "$it")
            assertEquals(AnswerEnd.BROKEN_OFF, it.answerEnd(StreamProgress(events = 5, partialBytes = 7)), "$it")
        }
    }

    @Test
    fun `only a length or chunks prove that an answer is complete`() {
        listOf(AnswerFraming.LENGTH, AnswerFraming.CHUNKS).forEach {
            assertEquals(AnswerEnd.COMPLETE, it.answerEnd(stream = null), "$it")
            assertEquals(AnswerEnd.COMPLETE, it.answerEnd(StreamProgress(events = 0, partialBytes = 0)), "$it")
            assertEquals(AnswerEnd.COMPLETE, it.answerEnd(StreamProgress(events = 3, partialBytes = 0)), "$it")
        }
        assertEquals(AnswerEnd.PRESUMED, AnswerFraming.CONNECTION.answerEnd(stream = null))
        assertEquals(
            AnswerEnd.PRESUMED,
            AnswerFraming.CONNECTION.answerEnd(StreamProgress(events = 3, partialBytes = 0)),
        )
    }

    @Test
    fun `a closed connection does not complete a stream that has no event yet`() {
        assertEquals(
            AnswerEnd.BROKEN_OFF,
            AnswerFraming.CONNECTION.answerEnd(StreamProgress(events = 0, partialBytes = 0)),
        )
    }
}
