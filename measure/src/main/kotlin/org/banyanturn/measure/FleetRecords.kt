package org.banyanturn.measure

import org.banyanturn.core.Incarnation
import org.banyanturn.core.MemberId
import org.banyanturn.core.VmId
import org.banyanturn.core.ZoneId
import org.banyanturn.core.state.Change
import org.banyanturn.core.state.CreateMember
import org.banyanturn.core.state.FleetState
import org.banyanturn.core.state.JoinRouter
import org.banyanturn.core.state.LeaveRouter
import org.banyanturn.core.state.LogEntry
import org.banyanturn.core.state.RateHome
import org.banyanturn.core.state.ReleaseRateHomes
import org.banyanturn.core.state.encodeToPayload
import org.banyanturn.core.state.foldRecord
import org.banyanturn.core.state.rateHomeOrNull
import org.banyanturn.core.state.ratePartitionsToRelease

/** The log of a fleet in which all VMs have joined and all members exist. */
internal class FleetRecords(private val vms: EntryVms, members: List<MemberTraffic>) {
    private val memberIds = members.map { MemberId(it.name) }
    private val incarnationNumbers = IntArray(vms.count) { 1 }
    private var recordCount = 0

    /** The state after all records. */
    var state = FleetState()
        private set

    init {
        repeat(vms.count, ::join)
        members.forEach { append(CreateMember(MemberId(it.name), it.ratePerSecond, it.burst)) }
    }

    fun incarnationOf(vm: Int): Incarnation = Incarnation(VmId("vm$vm"), incarnationNumbers[vm].toLong())

    /** Returns the home of [member]. */
    fun homeOf(member: Int): RateHome = checkNotNull(state.rateHomeOrNull(memberIds[member]))

    /** Returns the partitions that [vm] has too many of. */
    fun partitionsToRelease(vm: Int): List<Int> = state.ratePartitionsToRelease(incarnationOf(vm))

    fun release(vm: Int, partitions: List<Int>): Unit = append(ReleaseRateHomes(incarnationOf(vm), partitions))

    fun leave(vm: Int): Unit = append(LeaveRouter(incarnationOf(vm)))

    fun restart(vm: Int) {
        incarnationNumbers[vm]++
        join(vm)
    }

    private fun join(vm: Int): Unit =
        append(JoinRouter(incarnationOf(vm), ZoneId("zone${vms.zoneOf(vm)}"), "127.0.0.1:1"))

    private fun append(change: Change) {
        val payload = LogEntry("r${recordCount++}", "measure", change).encodeToPayload()
        state = state.foldRecord(state.nextOffset, payload)
    }
}

/** The VM of this incarnation. */
internal val Incarnation.vm: Int
    get() = vmId.value.removePrefix("vm").toInt()
