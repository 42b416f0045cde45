package org.banyanturn.core.delivery

import io.kotest.common.ExperimentalKotest
import io.kotest.property.Arb
import io.kotest.property.PropTestConfig
import io.kotest.property.arbitrary.int
import io.kotest.property.arbitrary.list
import io.kotest.property.checkAll
import kotlinx.coroutines.test.runTest
import org.junit.jupiter.api.Assertions.assertFalse
import org.junit.jupiter.api.Assertions.assertTrue
import org.junit.jupiter.api.Test

/** Guards against an earlier answer of a target that is taken for the one that is due. */
@OptIn(ExperimentalKotest::class)
class ConnectionAnswersTest {
    private val fresh = ConnectionAnswers()
    private val used = fresh.answered("a")

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
        assertFalse(fresh.answered("a").isDue("b", answeredId = null))
        assertTrue(used.isDue(attemptId = null, answeredId = null))
    }

    @Test
    fun `an attempt that was answered on a connection is not sent on it again, whatever the answer`() {
        assertFalse(used.mayCarry("a"))
        assertTrue(used.mayCarry("b"))
        assertTrue(used.mayCarry(null))
        assertFalse(used.answered("b").mayCarry("a"))
    }

    @Test
    fun `a connection with bytes that belong to no answer carries nothing more, whatever comes next`() = runTest {
        checkAll(PropTestConfig(seed = 44L), Arb.list(Arb.int(0..3), 0..20), Arb.int(1..500)) { events, byteCount ->
            val dirty = events.fold(fresh.receivedOutside(byteCount)) { answers, event ->
                when (event) {
                    0 -> answers.answered("a")
                    1 -> answers.answered(attemptId = null)
                    else -> answers.receivedOutside(event - 2)
                }
            }
            assertFalse(dirty.isClean)
            listOf("a", "c", null).forEach { assertFalse(dirty.mayCarry(it)) }
        }
    }

    @Test
    fun `an answer without an id behind one to another attempt is not due, even as the first that counts`() {
        assertFalse(fresh.receivedOutside(80).isDue("b", answeredId = null))
        assertTrue(fresh.receivedOutside(80).isDue("b", answeredId = "b"))
    }

    @Test
    fun `no bytes behind an answer leave its connection as it is`() {
        assertTrue(used.receivedOutside(0).isClean)
        assertTrue(used.receivedOutside(0).mayCarry("b"))
    }

    @Test
    fun `a connection with many answered attempts carries no more`() {
        val worn = (1..64).fold(fresh) { answers, number -> answers.answered("a$number") }
        assertFalse(worn.mayCarry("b"))
        assertFalse(worn.mayCarry(null))
    }
}
