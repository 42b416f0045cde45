package org.banyanturn.core.delivery

import org.banyanturn.core.TargetId
import org.junit.jupiter.api.Assertions.assertEquals
import org.junit.jupiter.api.Assertions.assertFalse
import org.junit.jupiter.api.Assertions.assertTrue
import org.junit.jupiter.api.Test

class ConnectionAndShutdownTest {
    private val silent = ConnectionId(1)
    private val idle = ConnectionId(2)
    private val responsive = ConnectionId(3)
    private val attempt = RequestId("r").attempt(1)

    private fun monitorWithAttempts(): ProgressMonitor =
        listOf(silent, idle, responsive)
            .fold(ProgressMonitor()) { monitor, id -> monitor.opened(id, canProbe = true, nowMillis = 0) }
            .sent(silent, attempt, 0)
            .sent(responsive, RequestId("q").attempt(1), 0)

    @Test
    fun `a silent connection is probed, a new one is opened at once, and inactive ones are dropped together`() {
        val probeStep = monitorWithAttempts().received(responsive, 400).tick(500)
        assertEquals(
            listOf(ConnectionDecision.Probe(silent), ConnectionDecision.OpenConnection),
            probeStep.decisions,
        )
        assertFalse(probeStep.monitor.isUsable(silent))
        val dropStep = probeStep.monitor.received(responsive, 900).tick(1_000)
        assertEquals(ConnectionDecision.Drop(listOf(silent, idle), listOf(attempt)), dropStep.decisions.first())
        assertTrue(dropStep.monitor.isUsable(responsive))
    }

    @Test
    fun `a connection that answers its probes is not dropped during a slow answer`() {
        var monitor = monitorWithAttempts()
        for (nowMillis in 0L..4_000L step 100) {
            val step = monitor.tick(nowMillis)
            assertFalse(step.decisions.any { it is ConnectionDecision.Drop })
            monitor = step.decisions.filterIsInstance<ConnectionDecision.Probe>()
                .fold(step.monitor) { probed, probe -> probed.received(probe.connectionId, nowMillis + 8) }
        }
    }

    @Test
    fun `a connection that can't be probed is dropped at its progress deadline`() {
        val monitor = ProgressMonitor().opened(silent, canProbe = false, nowMillis = 0).sent(silent, attempt, 0)
        assertTrue(monitor.tick(1_499).decisions.isEmpty())
        val drop = ConnectionDecision.Drop(listOf(silent), listOf(attempt))
        assertEquals(listOf(drop, ConnectionDecision.OpenConnection), monitor.tick(1_500).decisions)
    }

    @Test
    fun `a shutdown accepts requests that the balancer still sends, completes them, and only then exits`() {
        val running = RequestId("running")
        val late = RequestId("late")
        val machine = DrainStateMachine().requestStarted(running).attemptSent(running).shutDown(0).machine
        assertFalse(machine.isReady)
        assertTrue(machine.acceptsRequests)
        val draining = machine.requestStarted(late).tick(3_000)
        assertEquals(listOf(DrainDecision.StopAccepting), draining.decisions)
        assertFalse(draining.machine.acceptsRequests)
        val handOverStep = draining.machine.tick(20_000)
        assertEquals(listOf(DrainDecision.HandOver(listOf(late))), handOverStep.decisions)
        val afterHandOver = handOverStep.machine.requestEnded(late).machine
        assertEquals(listOf(DrainDecision.EndRequests(listOf(running))), afterHandOver.tick(30_000).decisions)
        assertEquals(listOf(DrainDecision.Exit), afterHandOver.requestEnded(running).decisions)
    }

    @Test
    fun `an idle VM exits after the readiness delay`() {
        val step = DrainStateMachine().shutDown(0).machine.tick(3_000)
        assertEquals(listOf(DrainDecision.StopAccepting, DrainDecision.Exit), step.decisions)
    }

    @Test
    fun `one source stops new work, and only that source or a new incarnation resumes it`() {
        val target = TargetId("t1")
        val view = DepartureView<TargetId>()
            .observe(target, DepartureSource.SELF, isLeaving = true)
            .observe(target, DepartureSource.LIST, isLeaving = false)
        assertFalse(view.acceptsWork(target))
        assertTrue(view.observe(target, DepartureSource.SELF, isLeaving = false).acceptsWork(target))
        assertTrue(view.joined(target).acceptsWork(target))
    }
}
