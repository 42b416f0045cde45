package org.banyanturn.core.delivery

import org.junit.jupiter.api.Assertions.assertFalse
import org.junit.jupiter.api.Assertions.assertTrue
import org.junit.jupiter.api.Test

/** Guards against an earlier answer of a target that is taken for the one that is due. */
class ConnectionAnswersTest {
    private val fresh = ConnectionAnswers()
    private val used = fresh.answered("a", isSuccess = false)

    @Test
    fun `an answer with the id of another attempt is never due`() {
        listOf(fresh, used).forEach {
            assertTrue(it.isDue("b", "b"))
            assertFalse(it.isDue("b", "a"))
            assertFalse(it.isDue(attemptId = null, answeredId = "a"))
        }
    }

    @Test
    fun `an answer without an id is due only as the first one of its connection`() {
        assertTrue(fresh.isDue("b", answeredId = null))
        assertFalse(used.isDue("b", answeredId = null))
        assertFalse(fresh.answered("a", isSuccess = true).isDue("b", answeredId = null))
        assertTrue(used.isDue(attemptId = null, answeredId = null))
    }

    @Test
    fun `an attempt that failed on a connection is not sent on it again`() {
        assertFalse(used.mayCarry("a"))
        assertTrue(used.mayCarry("b"))
        assertTrue(used.mayCarry(null))
        assertTrue(fresh.answered("a", isSuccess = true).mayCarry("b"))
    }

    @Test
    fun `a connection with many failed attempts carries no more`() {
        val worn = (1..64).fold(fresh) { answers, number -> answers.answered("a$number", isSuccess = false) }
        assertFalse(worn.mayCarry("b"))
        assertFalse(worn.mayCarry(null))
    }
}
