package org.banyanturn.entry.observe

import org.banyanturn.core.AdapterId
import org.banyanturn.core.ModelId
import org.banyanturn.core.placement.CopyName
import org.banyanturn.core.placement.WaitingModel
import org.banyanturn.daemon.ProcessClock
import org.banyanturn.daemon.logs.Event
import org.banyanturn.entry.CapturedLogLines
import org.junit.jupiter.api.AfterEach
import org.junit.jupiter.api.Assertions.assertFalse
import org.junit.jupiter.api.Assertions.assertTrue
import org.junit.jupiter.api.Test

class SummaryLogTest {
    private var nowMillis = 0L
    private val clock = ProcessClock { nowMillis }
    private val lines = CapturedLogLines()
    private val log = DecisionLog(clock, EntryMetrics())

    @AfterEach
    fun stopCapturing(): Unit = lines.close()

    @Test
    fun `every request for a copy is counted until the counts are written`() {
        val outcomes = CopyOutcomeLog(log)
        val model = CopyName(ModelId("m1"))
        val adapter = CopyName(ModelId("m1"), AdapterId("a2"))
        repeat(3) { outcomes.recordArrival(model) }
        outcomes.recordServed(model)
        repeat(2) { outcomes.recordRefused(model) }
        outcomes.recordArrival(adapter)
        outcomes.write()
        assertTrue(lines.has(Event.COPY_OUTCOMES, "copies=m1:3/1/2,m1/a2:1/0/0"))
        outcomes.recordServed(adapter)
        outcomes.write()
        assertTrue(lines.has(Event.COPY_OUTCOMES, "copies=m1/a2:0/1/0"))
    }

    @Test
    fun `the time that planning takes on the event loop is logged`() {
        val planning = PlanningLog(clock, log)
        planning.write(queued = 0, running = 0, fromStore = 0)
        assertFalse(lines.has(Event.PLANNING_SUMMARY, ""))
        planning.measureRun { nowMillis += 70 }
        planning.measureRun { nowMillis += 20 }
        planning.measureRequest { nowMillis += 5 }
        planning.write(queued = 4, running = 2, fromStore = 1)
        assertTrue(
            lines.has(
                Event.PLANNING_SUMMARY,
                "runs=2 runMillis=90 longestRunMillis=70 requests=1 requestMillis=5 declined=0 " +
                    "queued=4 running=2 fromStore=1",
            ),
        )
    }

    @Test
    fun `models that wait for a copy are logged with what their loads depend on`() {
        val planning = PlanningLog(clock, log)
        val waiting = WaitingModel(ModelId("m3"), misses = 4, waitingMillis = 9_100, rank = 7, hosts = 2, freeHosts = 1)
        planning.writeWaiting(emptyList())
        assertFalse(lines.has(Event.MODELS_WAITING, ""))
        planning.writeWaiting(listOf(waiting))
        assertTrue(lines.has(Event.MODELS_WAITING, "count=1 models=m3:4/9100/7/2/1"))
    }
}
