package org.banyanturn.placer.engines

import com.github.michaelbull.result.mapBoth
import io.github.oshai.kotlinlogging.KotlinLogging
import kotlinx.collections.immutable.toPersistentSet
import kotlinx.coroutines.CoroutineScope
import kotlinx.coroutines.delay
import kotlinx.coroutines.isActive
import kotlinx.coroutines.launch
import org.banyanturn.core.Incarnation
import org.banyanturn.core.TargetId
import org.banyanturn.core.placement.EngineOwnerEvent
import org.banyanturn.core.placement.EngineOwnerSettings
import org.banyanturn.core.placement.EngineSnapshot
import org.banyanturn.core.state.CopyKey
import org.banyanturn.core.state.FleetState
import org.banyanturn.core.state.Target
import org.banyanturn.core.state.TargetKind
import org.banyanturn.daemon.ProcessClock
import org.banyanturn.daemon.logs.Event
import org.banyanturn.daemon.logs.event
import org.banyanturn.daemon.logs.field
import org.banyanturn.daemon.state.StateFollower
import org.banyanturn.daemon.state.StateRead
import org.banyanturn.placer.EngineSettings
import org.banyanturn.platform.EngineControl
import org.banyanturn.platform.EngineReport
import org.banyanturn.platform.LoadUnit
import org.banyanturn.platform.LogService
import java.util.concurrent.ConcurrentHashMap

private const val TICK_MILLIS = 250L

private val logger = KotlinLogging.logger {}

/** This VM's view of every engine that it owns or may come to own. */
internal interface EngineOwners {
    /** Returns the owner of [targetId] on this VM, or `null` if this VM has nothing to do with the engine. */
    fun ownerOrNull(targetId: TargetId): EngineOwner?

    /** Returns the latest report of [targetId], or `null` if this VM has none. */
    fun reportOrNull(targetId: TargetId): EngineReport?

    /** Stops giving orders, so that another VM can take over. */
    suspend fun handOver()
}

/** What [engineOwners] needs from its surroundings. */
internal class EngineOwnersEnvironment(
    val incarnation: Incarnation,
    val settings: EngineSettings,
    val follower: StateFollower,
    val log: LogService,
    val clock: ProcessClock,
    val scope: CoroutineScope,
    val control: (address: String) -> EngineControl,
)

/** Returns the owners of the engines that [assignment] gives to this VM, which follow the log on their own. */
internal fun engineOwners(environment: EngineOwnersEnvironment, assignment: EngineAssignment): EngineOwners {
    val owners = AssignedEngineOwners(environment, assignment)
    environment.scope.launch { owners.followLog() }
    environment.scope.launch { owners.tick() }
    return owners
}

private class AssignedEngineOwners(
    private val environment: EngineOwnersEnvironment,
    private val assignment: EngineAssignment,
) : EngineOwners {
    private val owners = ConcurrentHashMap<TargetId, EngineOwner>()
    private val reports = ConcurrentHashMap<TargetId, EngineReport>()

    override fun ownerOrNull(targetId: TargetId): EngineOwner? = owners[targetId]

    override fun reportOrNull(targetId: TargetId): EngineReport? = reports[targetId]

    override suspend fun handOver() {
        owners.values.forEach { it.handle(EngineOwnerEvent.HandoverRequested) }
    }

    suspend fun followLog() {
        environment.follower.reads.collect(::onRead)
    }

    suspend fun tick() {
        while (environment.scope.isActive) {
            delay(TICK_MILLIS)
            owners.values.forEach { it.handle(EngineOwnerEvent.Tick) }
        }
    }

    private suspend fun onRead(read: StateRead) {
        val wanted = assignment.enginesToOwn(read.state)
        wanted.forEach { targetId -> read.state.engineOrNull(targetId)?.let(::start) }
        val event = EngineOwnerEvent.LogRead(read.state, read.requestSentMillis, read.isAtHead)
        owners.values.forEach { it.handle(event) }
        wanted.forEach { owners[it]?.handle(EngineOwnerEvent.OwnershipRequested) }
    }

    private fun start(target: Target) {
        owners.computeIfAbsent(target.targetId) {
            val settings = EngineOwnerSettings(
                targetId = target.targetId,
                incarnation = environment.incarnation,
                capacityMebibytes = target.memoryMebibytes,
                checksFencing = target.checksFencing,
                orderDelayMillis = environment.settings.orderDelayMillis,
                leaseMillis = environment.settings.leaseMillis,
            )
            val control = environment.control(target.address)
            val owner = engineOwner(settings, control, environment.log, environment.clock, environment.scope)
            environment.scope.launch { pollReports(target.targetId, owner, control) }
            owner
        }
    }

    private suspend fun pollReports(targetId: TargetId, owner: EngineOwner, control: EngineControl) {
        while (environment.scope.isActive) {
            if (owner.machine.fencingNumberOrNull != null) readReport(targetId, owner, control)
            delay(environment.settings.reportIntervalMillis)
        }
    }

    private suspend fun readReport(targetId: TargetId, owner: EngineOwner, control: EngineControl) {
        val askedMillis = environment.clock.nowMillis()
        control.report().mapBoth(
            success = { report ->
                reports[targetId] = report
                owner.handle(EngineOwnerEvent.SnapshotReceived(report.toSnapshot(targetId, askedMillis)))
            },
            failure = { error ->
                if (reports.remove(targetId) != null) {
                    logger.event(Event.REPORT_FAILED, field("targetId", targetId), field("error", error.message))
                }
            },
        )
    }
}

private fun FleetState.engineOrNull(targetId: TargetId): Target? =
    targets[targetId]?.takeIf { it.kind == TargetKind.ENGINE }

private fun EngineReport.toSnapshot(targetId: TargetId, askedMillis: Long): EngineSnapshot =
    EngineSnapshot(
        incarnation = incarnation,
        loaded = loaded.map { it.on(targetId) }.toPersistentSet(),
        loading = loading.map { it.on(targetId) }.toPersistentSet(),
        asOfMillis = askedMillis - ageMillis,
    )

/** Returns the key of a copy of this unit on [targetId]. */
internal fun LoadUnit.on(targetId: TargetId): CopyKey = CopyKey(targetId, modelId, adapterId, version)
