package org.banyanturn.entry

import com.github.michaelbull.result.Ok
import com.github.michaelbull.result.Result
import kotlinx.coroutines.ExperimentalCoroutinesApi
import kotlinx.coroutines.delay
import kotlinx.coroutines.launch
import kotlinx.coroutines.test.TestScope
import kotlinx.coroutines.test.currentTime
import kotlinx.coroutines.test.runTest
import org.banyanturn.core.Incarnation
import org.banyanturn.core.VmId
import org.banyanturn.core.ZoneId
import org.banyanturn.daemon.ProcessClock
import org.banyanturn.entry.follow.Ownership
import org.banyanturn.entry.follow.OwnershipSettings
import org.banyanturn.entry.follow.Peer
import org.banyanturn.entry.follow.StoreOutageTracker
import org.banyanturn.entry.observe.DecisionLog
import org.banyanturn.entry.observe.EntryMetrics
import org.banyanturn.entry.peers.PeerLiveness
import org.banyanturn.platform.OwnerList
import org.banyanturn.platform.OwnershipGrant
import org.banyanturn.platform.OwnershipGroup
import org.banyanturn.platform.Partition
import org.banyanturn.platform.StoreError
import org.junit.jupiter.api.Assertions.assertEquals
import org.junit.jupiter.api.Test

private const val VMS = 95

@OptIn(ExperimentalCoroutinesApi::class)
class PeerLivenessTest {
    private val vms = (1..VMS).map { Peer(Incarnation(VmId("vm-$it"), 1), ZoneId("z-${it % 6}"), "10.0.0.$it") }
    private val self = vms.first()

    /** An ownership group in which each VM owns one partition. */
    private val group = object : OwnershipGroup {
        override val partitions = vms.indices.map { Partition("ownership", it) }

        override suspend fun join(ttlMillis: Long, lastGeneration: Long): Result<OwnershipGrant, StoreError> =
            Ok(OwnershipGrant(generation = 1, setOf(partitions.first())))

        override suspend fun leave(): Result<Unit, StoreError> = Ok(Unit)

        override suspend fun owners(): Result<OwnerList, StoreError> =
            Ok(OwnerList(generation = 1, partitions.zip(vms.map { it.toMemberName() }).toMap()))
    }

    private suspend fun TestScope.liveness(): PeerLiveness {
        val clock = ProcessClock { currentTime }
        val log = DecisionLog(clock, EntryMetrics())
        val ownership = Ownership(group, self, OwnershipSettings(), StoreOutageTracker("group", clock, log), clock, log)
        backgroundScope.launch { ownership.run() }
        delay(1)
        return PeerLiveness(ownership, self, clock).also { it.refresh() }
    }

    @Test
    fun `a new collector counts VMs as responsive that had no reason to send heartbeats to it`() = runTest {
        val liveness = liveness()
        delay(30_000)
        liveness.refresh()
        liveness.setCollecting(true)
        assertEquals(VMS, liveness.sharingVms().count)
        assertEquals(0, liveness.sharingVms().isolatedCount)
    }

    @Test
    fun `a VM whose heartbeats are missing counts as isolated after the timeout, others do not`() = runTest {
        val liveness = liveness()
        liveness.setCollecting(true)
        repeat(4) {
            delay(1_000)
            liveness.refresh()
            liveness.setCollecting(true)
            vms.drop(2).forEach { liveness.onReceived(it.incarnation, isInGroup = true) }
        }
        assertEquals(1, liveness.sharingVms().isolatedCount)
        assertEquals(VMS, liveness.sharingVms().count)
    }
}
