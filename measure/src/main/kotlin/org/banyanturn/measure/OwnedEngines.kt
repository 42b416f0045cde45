package org.banyanturn.measure

import kotlinx.collections.immutable.toPersistentSet
import org.banyanturn.core.Incarnation
import org.banyanturn.core.VmId
import org.banyanturn.core.ZoneId
import org.banyanturn.core.placement.EngineOwnerDecision
import org.banyanturn.core.placement.EngineOwnerEvent
import org.banyanturn.core.placement.EngineOwnerMachine
import org.banyanturn.core.placement.EngineOwnerSettings
import org.banyanturn.core.placement.EngineSnapshot
import org.banyanturn.core.placement.LoadKey
import org.banyanturn.core.placement.OrderOutcome
import org.banyanturn.core.placement.ReservationPhase
import org.banyanturn.core.placement.engineOwnerMachineOf
import org.banyanturn.core.placement.on
import org.banyanturn.core.placement.toLoadKey
import org.banyanturn.core.state.Change
import org.banyanturn.core.state.CopyKey
import org.banyanturn.core.state.DeclareAdapter
import org.banyanturn.core.state.DeclareModel
import org.banyanturn.core.state.DeclareTarget
import org.banyanturn.core.state.FleetState
import org.banyanturn.core.state.JoinVm
import org.banyanturn.core.state.LogEntry
import org.banyanturn.core.state.TargetKind
import org.banyanturn.core.state.encodeToPayload
import org.banyanturn.core.state.foldRecord

private const val LOG_MILLIS = 10L
private const val LEASE_MILLIS = 2 * MINUTE_MILLIS
private const val READ_MILLIS = MINUTE_MILLIS
private const val ORDER_DELAY_MILLIS = 5_000L
private const val REPORT_LAG_MILLIS = 1_000L

/** The engines with their owner machines and the log, as the placer would run them. */
internal class OwnedEngines(
    private val world: ModelsWorld,
    private val onReady: (CopyKey, TrueEngine) -> Unit,
    private val onRefused: (EngineOwnerDecision.RefuseLoad) -> Unit,
) {
    private val clock = world.clock
    private val incarnation = Incarnation(VmId("vm"), 1)
    private val machines = HashMap<TrueEngine, EngineOwnerMachine>()
    private var log = FleetState()

    init {
        declare(JoinVm(incarnation, ZoneId("zone-0"), "-", "-"))
        world.workload.models.forEach { model ->
            declare(DeclareModel(model.key.modelId, "1", model.memoryMebibytes, DECIDED_COPIES))
            model.adapters.forEach { adapter ->
                val adapterId = checkNotNull(adapter.key.adapterId)
                declare(DeclareAdapter(adapterId, model.key.modelId, "1", adapter.memoryMebibytes))
            }
        }
        world.engines.forEach { engine ->
            val zoneId = ZoneId("zone-${engine.zone}")
            declare(DeclareTarget(engine.targetId, TargetKind.ENGINE, "-", zoneId, ENGINE_MEBIBYTES, true))
            val settings = EngineOwnerSettings(
                targetId = engine.targetId,
                incarnation = incarnation,
                capacityMebibytes = ENGINE_MEBIBYTES,
                checksFencing = true,
                orderDelayMillis = ORDER_DELAY_MILLIS,
                leaseMillis = LEASE_MILLIS,
            )
            machines[engine] = engineOwnerMachineOf(settings)
            handle(engine, EngineOwnerEvent.OwnershipRequested)
        }
        renewLeases()
    }

    fun freeMebibytes(engine: TrueEngine): Long = machines.getValue(engine).ledger.freeMebibytes

    fun load(engine: TrueEngine, key: LoadKey, memoryMebibytes: Long) {
        val deadlineMillis = clock.nowMillis + ORDER_TIMEOUT_MILLIS
        handle(engine, EngineOwnerEvent.LoadRequested(key.on(engine.targetId), memoryMebibytes, deadlineMillis))
    }

    fun unload(engine: TrueEngine, key: LoadKey) {
        handle(engine, EngineOwnerEvent.UnloadRequested(key.on(engine.targetId)))
        clock.after(ORDER_DELAY_MILLIS) { handle(engine, EngineOwnerEvent.Tick) }
    }

    /** Returns the engine that has memory set aside for [key], or `null` if none has. */
    fun holderOrNull(key: LoadKey): TrueEngine? =
        world.engines.firstOrNull { key.on(it.targetId) in machines.getValue(it).ledger.reservations }

    /** Has the engines report on which a load is awaited, in case its answer was lost. */
    fun reportIfLoading() {
        machines.filterValues { machine ->
            machine.ledger.reservations.values.any { it.phase == ReservationPhase.LOADING }
        }.keys.toList().forEach(::report)
    }

    private fun declare(change: Change) = append(LogEntry("operator-${log.nextOffset}", "operator", change))

    private fun append(entry: LogEntry) {
        log = log.foldRecord(log.nextOffset, entry.encodeToPayload())
    }

    private fun renewLeases() {
        world.engines.forEach(::readLog)
        clock.after(READ_MILLIS, ::renewLeases)
    }

    private fun readLog(engine: TrueEngine): Unit =
        handle(engine, EngineOwnerEvent.LogRead(log, clock.nowMillis, isAtHead = true))

    private fun handle(engine: TrueEngine, event: EngineOwnerEvent) {
        val step = machines.getValue(engine).handle(event, clock.nowMillis)
        machines[engine] = step.machine
        step.decisions.forEach { carryOut(engine, it) }
    }

    private fun carryOut(engine: TrueEngine, decision: EngineOwnerDecision) {
        when (decision) {
            is EngineOwnerDecision.Append -> clock.after(LOG_MILLIS) {
                append(decision.entry)
                clock.after(LOG_MILLIS) { readLog(engine) }
            }

            is EngineOwnerDecision.SendLoad ->
                world.load(engine, decision.copy.toLoadKey(), decision.memoryMebibytes) { isConfirmed ->
                    answer(engine, EngineOwnerEvent.OrderAnswered(decision.orderId, outcomeOf(isConfirmed)))
                }

            is EngineOwnerDecision.SendUnload -> world.unload(engine, decision.copy.toLoadKey()) {
                answer(engine, EngineOwnerEvent.OrderAnswered(decision.orderId, OrderOutcome.CONFIRMED))
            }

            is EngineOwnerDecision.CopyReady -> onReady(decision.copy, engine)

            is EngineOwnerDecision.CopyUnavailable -> Unit

            is EngineOwnerDecision.RefuseLoad -> onRefused(decision)
        }
    }

    private fun outcomeOf(isConfirmed: Boolean): OrderOutcome =
        if (isConfirmed) OrderOutcome.CONFIRMED else OrderOutcome.UNCONFIRMED

    private fun answer(engine: TrueEngine, event: EngineOwnerEvent.OrderAnswered) {
        handle(engine, event)
        if (event.outcome == OrderOutcome.UNCONFIRMED) clock.after(ORDER_DELAY_MILLIS) { report(engine) }
    }

    private fun report(engine: TrueEngine) {
        val copies = engine.copies.entries.groupBy({ it.value.isReady }, { it.key.on(engine.targetId) })
        val loaded = copies[true].orEmpty().toPersistentSet()
        val loading = copies[false].orEmpty().toPersistentSet()
        val snapshot = EngineSnapshot(1, loaded, loading, clock.nowMillis)
        clock.after(REPORT_LAG_MILLIS) { handle(engine, EngineOwnerEvent.SnapshotReceived(snapshot)) }
    }
}
