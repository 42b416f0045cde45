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

/** How often a daemon freezes right before an order, and for how long: past its lease and its successor's wait. */
private const val FREEZE_PERCENT = 12.0
private const val MAX_FREEZE_MILLIS = 40_000L
private const val CAPACITY_MEBIBYTES = 100L
private val memoryMebibytes = mapOf(ModelId("a") to 60L, ModelId("b") to 40L, ModelId("c") to 30L)
private val decidedCopies = mapOf(ModelId("a") to 1, ModelId("b") to 1, ModelId("c") to 2)

/** An engine's true state; it takes every order that its fencing check lets through, also beyond its memory. */
private class SimulatedEngine(val checksFencing: Boolean) {
    val readyAtMillis = mutableMapOf<CopyKey, Long>()
    var highestNumber = -1L
    var incarnation = 0L
}

private class Daemon(val vmId: VmId, val clockOffsetMillis: Long) {
    var life = 0L
    var pausedUntilMillis = 0L
    var isCutOff = false
    var machines = mapOf<TargetId, EngineOwnerMachine>()
    val inbox = mutableListOf<Pair<TargetId, EngineOwnerEvent>>()
    val incarnation get() = Incarnation(vmId, life)
}

/** Two daemons and two engines over one log; orders, answers, records and reports are lost, late or repeated. */
internal class FaultyFleet(private val random: Random, private val checksFencing: Boolean) {
    private val targets = listOf(TargetId("e1"), TargetId("e2"))
    private val engines = targets.associateWith { SimulatedEngine(checksFencing) }
    private val daemons = listOf(Daemon(VmId("v1"), 1_000_000), Daemon(VmId("v2"), 0))
    private val calls = PriorityQueue<Triple<Long, Long, () -> Unit>>(compareBy({ it.first }, { it.second }))
    private var callCount = 0L
    private var nowMillis = 0L
    private var log = FleetState()
    private var isCalm = false
    var loadsConfirmed = 0

    init {
        targets.forEach {
            record(DeclareTarget(it, TargetKind.ENGINE, "-", ZoneId("z"), CAPACITY_MEBIBYTES, checksFencing))
        }
        decidedCopies.forEach { (id, copies) -> record(DeclareModel(id, "1", memoryMebibytes.getValue(id), copies)) }
        daemons.forEach(::restart)
    }

    private fun record(change: Change) = append(LogEntry("op-${log.nextOffset}", "operator", change))

    private fun append(entry: LogEntry) {
        log = log.foldRecord(log.nextOffset, entry.encodeToPayload())
    }

    private fun restart(daemon: Daemon) {
        daemon.life++
        daemon.inbox.clear()
        daemon.pausedUntilMillis = 0
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

    private fun chance(percent: Double) = !isCalm && random.nextDouble() * 100 < percent

    private fun later(delayMillis: Long, action: () -> Unit) {
        calls += Triple(nowMillis + delayMillis, callCount++, action)
    }

    fun runFaulty(steps: Int) = repeat(steps) {
        if (chance(0.3)) restart(daemons.random(random))
        if (chance(0.5)) daemons.random(random).pausedUntilMillis = nowMillis + random.nextLong(8_000)
        if (chance(1.0)) restartEngine(engines.values.random(random))
        daemons.forEach { if (chance(0.5)) it.isCutOff = !it.isCutOff }
        step()
    }

    /** Runs without faults and without demand until every copy should be gone. */
    fun runCalm(steps: Int) {
        isCalm = true
        daemons.forEach { it.isCutOff = false }
        repeat(steps) { step() }
        check(log.copies.isEmpty()) { "claims are left over: ${log.copies.keys}" }
        check(engines.values.all { it.readyAtMillis.isEmpty() }) { "copies are left over" }
    }

    private fun restartEngine(engine: SimulatedEngine) {
        engine.incarnation++
        engine.readyAtMillis.clear()
    }

    private fun step() {
        nowMillis += STEP_MILLIS
        while (calls.isNotEmpty() && calls.peek().first <= nowMillis) {
            calls.poll().third()
            checkInvariants()
        }
        daemons.filter { nowMillis >= it.pausedUntilMillis }.forEach(::runDaemon)
    }

    private fun runDaemon(daemon: Daemon) {
        val events = daemon.inbox.toList()
        daemon.inbox.clear()
        events.forEach { (target, event) -> handle(daemon, target, event) }
        targets.forEach { target ->
            handle(daemon, target, EngineOwnerEvent.Tick)
            if (!daemon.isCutOff && random.nextInt(5) == 0) readLog(daemon, target)
            if (random.nextInt(10) == 0) askForReport(daemon, target)
            val isElected = (if (isCalm) 0 else nowMillis / 20_000 % 2) == daemons.indexOf(daemon).toLong()
            if (isElected && random.nextInt(10) == 0) handle(daemon, target, EngineOwnerEvent.OwnershipRequested)
            wantSomething(daemon, target)
        }
    }

    private fun wantSomething(daemon: Daemon, target: TargetId) {
        val model = memoryMebibytes.keys.random(random)
        val copy = CopyKey(target, model, null, "1")
        val deadlineMillis = nowMillis + daemon.clockOffsetMillis + 5_000
        val roll = random.nextInt(100)
        if (roll < 3 && !isCalm) {
            handle(
                daemon,
                target,
                EngineOwnerEvent.LoadRequested(copy, memoryMebibytes.getValue(model), deadlineMillis),
            )
        } else if (roll < (if (isCalm) 50 else 5)) {
            handle(daemon, target, EngineOwnerEvent.UnloadRequested(copy))
        }
    }

    private fun readLog(daemon: Daemon, target: TargetId) {
        val read = EngineOwnerEvent.LogRead(log, nowMillis + daemon.clockOffsetMillis, isAtHead = true)
        deliver(daemon, target, read)
    }

    private fun deliver(daemon: Daemon, target: TargetId, event: EngineOwnerEvent) {
        val life = daemon.life
        later(random.nextLong(1_000)) { if (daemon.life == life) daemon.inbox += target to event }
    }

    private fun askForReport(daemon: Daemon, target: TargetId) {
        val engine = engines.getValue(target)
        val askedMillis = nowMillis + daemon.clockOffsetMillis
        val ageMillis = random.nextLong(1_500)
        val snapshot = EngineSnapshot(
            engine.incarnation,
            loaded = engine.readyAtMillis.filterValues { it <= nowMillis }.keys.toPersistentSet(),
            loading = engine.readyAtMillis.filterValues { it > nowMillis }.keys.toPersistentSet(),
            asOfMillis = askedMillis,
        )
        later(ageMillis) { deliver(daemon, target, EngineOwnerEvent.SnapshotReceived(snapshot)) }
    }

    private fun handle(daemon: Daemon, target: TargetId, event: EngineOwnerEvent) {
        val machine = daemon.machines.getValue(target)
        val step = machine.handle(event, nowMillis + daemon.clockOffsetMillis)
        daemon.machines += target to step.machine
        check(step.machine.ledger.reservedMebibytes <= CAPACITY_MEBIBYTES) { "the ledger is over the engine's memory" }
        step.decisions.forEach { carryOut(daemon, target, it) }
    }

    private fun carryOut(daemon: Daemon, target: TargetId, decision: EngineOwnerDecision) {
        when (decision) {
            is EngineOwnerDecision.Append ->
                if (!daemon.isCutOff && !chance(20.0)) later(random.nextLong(1_500)) { append(decision.entry) }

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

    /** Now and then a daemon freezes between its decision and the order's first byte; the sender looks again then. */
    private fun send(
        daemon: Daemon,
        target: TargetId,
        orderId: OrderId,
        sendDeadlineMillis: Long,
        execute: ((OrderOutcome) -> Unit) -> Unit,
    ) {
        if (!chance(FREEZE_PERCENT)) return leave(daemon, target, orderId, execute)
        val life = daemon.life
        val thawMillis = nowMillis + random.nextLong(LEASE_MILLIS, MAX_FREEZE_MILLIS)
        daemon.pausedUntilMillis = maxOf(daemon.pausedUntilMillis, thawMillis)
        later(thawMillis - nowMillis) {
            val isInTime = nowMillis + daemon.clockOffsetMillis < sendDeadlineMillis
            when {
                daemon.life != life -> Unit
                isInTime -> leave(daemon, target, orderId, execute)
                else -> deliver(daemon, target, EngineOwnerEvent.OrderAnswered(orderId, OrderOutcome.NOT_SENT))
            }
        }
    }

    private fun leave(daemon: Daemon, target: TargetId, orderId: OrderId, execute: ((OrderOutcome) -> Unit) -> Unit) {
        val answer = { outcome: OrderOutcome ->
            if (!chance(20.0)) deliver(daemon, target, EngineOwnerEvent.OrderAnswered(orderId, outcome))
        }
        if (!chance(10.0)) later(random.nextLong(ORDER_DELAY_MILLIS)) { execute(answer) }
        if (chance(5.0)) later(random.nextLong(ORDER_DELAY_MILLIS)) { execute(answer) }
        later(random.nextLong(STEP_MILLIS, MAX_CALL_TIMEOUT_MILLIS)) {
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
        val life = engine.incarnation
        val loadMillis = random.nextLong(4_000)
        val readyAtMillis = engine.readyAtMillis.getOrPut(order.copy) { nowMillis + loadMillis }
        later((readyAtMillis - nowMillis).coerceAtLeast(0)) {
            if (engine.incarnation == life && engine.readyAtMillis[order.copy] == readyAtMillis) {
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
        decidedCopies.forEach { (modelId, decided) ->
            val loaded = engines.values.sumOf { engine -> engine.readyAtMillis.keys.count { it.modelId == modelId } }
            check(loaded <= decided) { "$loaded copies of $modelId are loaded at $nowMillis, $decided were decided" }
        }
    }
}
