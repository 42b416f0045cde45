package org.banyanturn.core.placement

import kotlinx.collections.immutable.toPersistentSet
import org.banyanturn.core.Incarnation
import org.banyanturn.core.ModelId
import org.banyanturn.core.TargetId
import org.banyanturn.core.VmId
import org.banyanturn.core.ZoneId
import org.banyanturn.core.state.Change
import org.banyanturn.core.state.CopyKey
import org.banyanturn.core.state.DeclareModel
import org.banyanturn.core.state.DeclareTarget
import org.banyanturn.core.state.FleetState
import org.banyanturn.core.state.JoinVm
import org.banyanturn.core.state.LogEntry
import org.banyanturn.core.state.TargetKind
import org.banyanturn.core.state.encodeToPayload
import org.banyanturn.core.state.foldRecord
import java.util.PriorityQueue
import kotlin.random.Random

internal const val STEP_MILLIS = 100L
private const val ORDER_DELAY_MILLIS = 2_000L
private const val MAX_CALL_TIMEOUT_MILLIS = 4_000L
private const val LEASE_MILLIS = 3_000L

/**
 * The probability that a daemon is suspended right before it sends an order. The suspension lasts up to
 * [MAX_SUSPENSION_MILLIS], which exceeds its lease and the time for which the next owner waits.
 */
private const val SUSPENSION_PERCENT = 12.0
private const val MAX_SUSPENSION_MILLIS = 40_000L
private const val CAPACITY_MEBIBYTES = 100L
private val memoryMebibytes = mapOf(ModelId("a") to 60L, ModelId("b") to 40L, ModelId("c") to 30L)
private val configuredCopies = mapOf(ModelId("a") to 1, ModelId("b") to 1, ModelId("c") to 2)

/** A simulated engine that executes every order that passes its fencing check, even beyond its memory. */
private class SimulatedEngine(val checksFencing: Boolean) {
    val readyAtMillis = mutableMapOf<CopyKey, Long>()
    var highestNumber = -1L
    var incarnation = 0L
}

private class Daemon(val vmId: VmId, val clockOffsetMillis: Long) {
    var incarnationNumber = 0L
    var suspendedUntilMillis = 0L
    var isCutOff = false
    var machines = mapOf<TargetId, EngineOwnerMachine>()
    val inbox = mutableListOf<Pair<TargetId, EngineOwnerEvent>>()
    val incarnation get() = Incarnation(vmId, incarnationNumber)
}

/** Simulates two daemons and two engines with one log, where messages are lost, delayed or duplicated. */
internal class FaultyFleet(private val random: Random, private val checksFencing: Boolean) {
    private val targets = listOf(TargetId("e1"), TargetId("e2"))
    private val engines = targets.associateWith { SimulatedEngine(checksFencing) }
    private val daemons = listOf(Daemon(VmId("v1"), 1_000_000), Daemon(VmId("v2"), 0))
    private val scheduledActions = PriorityQueue<Triple<Long, Long, () -> Unit>>(compareBy({ it.first }, { it.second }))
    private var actionCount = 0L
    private var nowMillis = 0L
    private var log = FleetState()
    private var isFaultFree = false
    var loadsConfirmed = 0

    init {
        targets.forEach {
            record(DeclareTarget(it, TargetKind.ENGINE, "-", ZoneId("z"), CAPACITY_MEBIBYTES, checksFencing))
        }
        configuredCopies.forEach { (id, copies) -> record(DeclareModel(id, "1", memoryMebibytes.getValue(id), copies)) }
        daemons.forEach(::restart)
    }

    private fun record(change: Change) = append(LogEntry("op-${log.nextOffset}", "operator", change))

    private fun append(entry: LogEntry) {
        log = log.foldRecord(log.nextOffset, entry.encodeToPayload())
    }

    private fun restart(daemon: Daemon) {
        daemon.incarnationNumber++
        daemon.inbox.clear()
        daemon.suspendedUntilMillis = 0
        daemon.machines = targets.associateWith { target ->
            engineOwnerMachineOf(
                EngineOwnerSettings(
                    targetId = target,
                    incarnation = daemon.incarnation,
                    capacityMebibytes = CAPACITY_MEBIBYTES,
                    checksFencing = checksFencing,
                    orderDelayMillis = ORDER_DELAY_MILLIS,
                    leaseMillis = LEASE_MILLIS,
                ),
            )
        }
        record(JoinVm(daemon.incarnation, ZoneId("z"), "-", "-"))
    }

    private fun happens(percent: Double) = !isFaultFree && random.nextDouble() * 100 < percent

    private fun schedule(delayMillis: Long, action: () -> Unit) {
        scheduledActions += Triple(nowMillis + delayMillis, actionCount++, action)
    }

    fun runWithFaults(steps: Int) = repeat(steps) {
        if (happens(0.3)) restart(daemons.random(random))
        if (happens(0.5)) daemons.random(random).suspendedUntilMillis = nowMillis + random.nextLong(8_000)
        if (happens(1.0)) restartEngine(engines.values.random(random))
        daemons.forEach { if (happens(0.5)) it.isCutOff = !it.isCutOff }
        step()
    }

    /** Runs [steps] without faults and load requests, and checks that no copies and claims remain. */
    fun runFaultFree(steps: Int) {
        isFaultFree = true
        daemons.forEach { it.isCutOff = false }
        repeat(steps) { step() }
        check(log.copies.isEmpty()) { "claims remain: ${log.copies.keys}" }
        check(engines.values.all { it.readyAtMillis.isEmpty() }) { "copies remain loaded" }
    }

    private fun restartEngine(engine: SimulatedEngine) {
        engine.incarnation++
        engine.readyAtMillis.clear()
    }

    private fun step() {
        nowMillis += STEP_MILLIS
        while (scheduledActions.isNotEmpty() && scheduledActions.peek().first <= nowMillis) {
            scheduledActions.poll().third()
            checkInvariants()
        }
        daemons.filter { nowMillis >= it.suspendedUntilMillis }.forEach(::runDaemon)
    }

    private fun runDaemon(daemon: Daemon) {
        val events = daemon.inbox.toList()
        daemon.inbox.clear()
        events.forEach { (target, event) -> handle(daemon, target, event) }
        targets.forEach { target ->
            handle(daemon, target, EngineOwnerEvent.Tick)
            if (!daemon.isCutOff && random.nextInt(5) == 0) readLog(daemon, target)
            if (random.nextInt(10) == 0) requestReport(daemon, target)
            val isElected = (if (isFaultFree) 0 else nowMillis / 20_000 % 2) == daemons.indexOf(daemon).toLong()
            if (isElected && random.nextInt(10) == 0) handle(daemon, target, EngineOwnerEvent.OwnershipRequested)
            sendRandomRequest(daemon, target)
        }
    }

    private fun sendRandomRequest(daemon: Daemon, target: TargetId) {
        val model = memoryMebibytes.keys.random(random)
        val copy = CopyKey(target, model, null, "1")
        val deadlineMillis = nowMillis + daemon.clockOffsetMillis + 5_000
        val roll = random.nextInt(100)
        if (roll < 3 && !isFaultFree) {
            handle(
                daemon,
                target,
                EngineOwnerEvent.LoadRequested(copy, memoryMebibytes.getValue(model), deadlineMillis),
            )
        } else if (roll < (if (isFaultFree) 50 else 5)) {
            handle(daemon, target, EngineOwnerEvent.UnloadRequested(copy))
        }
    }

    private fun readLog(daemon: Daemon, target: TargetId) {
        val read = EngineOwnerEvent.LogRead(log, nowMillis + daemon.clockOffsetMillis, isAtHead = true)
        deliver(daemon, target, read)
    }

    private fun deliver(daemon: Daemon, target: TargetId, event: EngineOwnerEvent) {
        val incarnationNumber = daemon.incarnationNumber
        schedule(random.nextLong(1_000)) {
            if (daemon.incarnationNumber == incarnationNumber) daemon.inbox += target to event
        }
    }

    private fun requestReport(daemon: Daemon, target: TargetId) {
        val engine = engines.getValue(target)
        val requestSentMillis = nowMillis + daemon.clockOffsetMillis
        val ageMillis = random.nextLong(1_500)
        val snapshot = EngineSnapshot(
            engine.incarnation,
            loaded = engine.readyAtMillis.filterValues { it <= nowMillis }.keys.toPersistentSet(),
            loading = engine.readyAtMillis.filterValues { it > nowMillis }.keys.toPersistentSet(),
            asOfMillis = requestSentMillis,
        )
        schedule(ageMillis) { deliver(daemon, target, EngineOwnerEvent.SnapshotReceived(snapshot)) }
    }

    private fun handle(daemon: Daemon, target: TargetId, event: EngineOwnerEvent) {
        val machine = daemon.machines.getValue(target)
        val step = machine.handle(event, nowMillis + daemon.clockOffsetMillis)
        daemon.machines += target to step.machine
        check(step.machine.ledger.reservedMebibytes <= CAPACITY_MEBIBYTES) {
            "the reservations exceed the engine's memory"
        }
        step.decisions.forEach { carryOut(daemon, target, it) }
    }

    private fun carryOut(daemon: Daemon, target: TargetId, decision: EngineOwnerDecision) {
        when (decision) {
            is EngineOwnerDecision.Append ->
                if (!daemon.isCutOff && !happens(20.0)) schedule(random.nextLong(1_500)) { append(decision.entry) }

            is EngineOwnerDecision.SendLoad -> send(
                daemon,
                target,
                decision.orderId,
                decision.sendDeadlineMillis,
            ) { answer ->
                load(target, decision, answer)
            }

            is EngineOwnerDecision.SendUnload -> send(
                daemon,
                target,
                decision.orderId,
                decision.sendDeadlineMillis,
            ) { answer ->
                val isFencedOff = isFencedOff(target, decision.fencingNumber)
                if (!isFencedOff) engines.getValue(target).readyAtMillis.remove(decision.copy)
                answer(if (isFencedOff) OrderOutcome.FENCED_OFF else OrderOutcome.CONFIRMED)
            }

            else -> Unit
        }
    }

    /**
     * Sends an order, sometimes after a suspension of the daemon between the decision and the sending. The sender
     * checks the send deadline again after the suspension.
     */
    private fun send(
        daemon: Daemon,
        target: TargetId,
        orderId: OrderId,
        sendDeadlineMillis: Long,
        execute: ((OrderOutcome) -> Unit) -> Unit,
    ) {
        if (!happens(SUSPENSION_PERCENT)) return transmit(daemon, target, orderId, execute)
        val incarnationNumber = daemon.incarnationNumber
        val resumeMillis = nowMillis + random.nextLong(LEASE_MILLIS, MAX_SUSPENSION_MILLIS)
        daemon.suspendedUntilMillis = maxOf(daemon.suspendedUntilMillis, resumeMillis)
        schedule(resumeMillis - nowMillis) {
            val isInTime = nowMillis + daemon.clockOffsetMillis < sendDeadlineMillis
            when {
                daemon.incarnationNumber != incarnationNumber -> Unit
                isInTime -> transmit(daemon, target, orderId, execute)
                else -> deliver(daemon, target, EngineOwnerEvent.OrderAnswered(orderId, OrderOutcome.NOT_SENT))
            }
        }
    }

    private fun transmit(
        daemon: Daemon,
        target: TargetId,
        orderId: OrderId,
        execute: ((OrderOutcome) -> Unit) -> Unit,
    ) {
        val answer = { outcome: OrderOutcome ->
            if (!happens(20.0)) deliver(daemon, target, EngineOwnerEvent.OrderAnswered(orderId, outcome))
        }
        if (!happens(10.0)) schedule(random.nextLong(ORDER_DELAY_MILLIS)) { execute(answer) }
        if (happens(5.0)) schedule(random.nextLong(ORDER_DELAY_MILLIS)) { execute(answer) }
        schedule(random.nextLong(STEP_MILLIS, MAX_CALL_TIMEOUT_MILLIS)) {
            deliver(daemon, target, EngineOwnerEvent.OrderAnswered(orderId, OrderOutcome.UNCONFIRMED))
        }
    }

    private fun isFencedOff(target: TargetId, fencingNumber: Long): Boolean {
        val engine = engines.getValue(target)
        val isFencedOff = engine.checksFencing && fencingNumber < engine.highestNumber
        engine.highestNumber = maxOf(engine.highestNumber, fencingNumber)
        return isFencedOff
    }

    private fun load(target: TargetId, order: EngineOwnerDecision.SendLoad, answer: (OrderOutcome) -> Unit) {
        val engine = engines.getValue(target)
        if (isFencedOff(target, order.fencingNumber)) return answer(OrderOutcome.FENCED_OFF)
        val incarnationNumber = engine.incarnation
        val loadMillis = random.nextLong(4_000)
        val readyAtMillis = engine.readyAtMillis.getOrPut(order.copy) { nowMillis + loadMillis }
        schedule((readyAtMillis - nowMillis).coerceAtLeast(0)) {
            if (engine.incarnation == incarnationNumber && engine.readyAtMillis[order.copy] == readyAtMillis) {
                loadsConfirmed++
                answer(OrderOutcome.CONFIRMED)
            }
        }
    }

    private fun checkInvariants() {
        engines.forEach { (target, engine) ->
            val usedMebibytes = engine.readyAtMillis.keys.sumOf { memoryMebibytes.getValue(it.modelId) }
            check(usedMebibytes <= CAPACITY_MEBIBYTES) { "engine $target holds $usedMebibytes MiB at $nowMillis" }
        }
        configuredCopies.forEach { (modelId, configured) ->
            val loaded = engines.values.sumOf { engine -> engine.readyAtMillis.keys.count { it.modelId == modelId } }
            check(loaded <= configured) {
                "$loaded copies of $modelId are loaded at $nowMillis, $configured are configured"
            }
        }
    }
}
