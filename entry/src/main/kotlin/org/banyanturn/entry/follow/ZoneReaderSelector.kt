package org.banyanturn.entry.follow

import kotlinx.coroutines.flow.MutableStateFlow
import kotlinx.coroutines.flow.StateFlow
import kotlinx.coroutines.flow.asStateFlow
import org.banyanturn.core.relay.ListSource
import org.banyanturn.core.relay.StoreReaderSelector
import org.banyanturn.daemon.ProcessClock
import org.banyanturn.daemon.logs.Event
import org.banyanturn.daemon.logs.field
import org.banyanturn.entry.observe.DecisionLog

/** Another VM of this zone, and the list of targets as it tells it. */
internal class ZoneReader(val peer: Peer, val list: TargetListSource)

/** Which VM of this zone reads the platform's store for the others, by the group's list of VMs and their answers. */
internal class ZoneReaderSelector(
    private val self: Peer,
    private val zoneVms: () -> Set<Peer>,
    private val listOf: (Peer) -> TargetListSource,
    private val clock: ProcessClock,
    private val log: DecisionLog,
) {
    private val choice = StoreReaderSelector(self.incarnation.vmId)
    private val readsStoreNow = MutableStateFlow(true)
    private var following: Peer? = null

    /** Whether this VM reads the store itself. */
    val readsStore: StateFlow<Boolean> = readsStoreNow.asStateFlow()

    /** Returns the VM to ask, or `null` if this VM reads the store itself. */
    fun readerOrNull(): ZoneReader? {
        val others = zoneVms().filter { it.zoneId == self.zoneId && it.incarnation.vmId != self.incarnation.vmId }
        val peersByVm = others.associateBy { it.incarnation.vmId }
        val source = choice.sourceAt(peersByVm.keys, clock.nowMillis())
        val peer = (source as? ListSource.Vm)?.let { peersByVm.getValue(it.vmId) }
        follow(peer)
        return peer?.let { ZoneReader(it, listOf(it)) }
    }

    /** Notes whether [reader] gave an answer that is up to date; if not, this VM reads the store at once. */
    fun onAnswer(reader: ZoneReader, isUpToDate: Boolean) {
        val vmId = reader.peer.incarnation.vmId
        if (isUpToDate) return choice.onAnswered(vmId)
        choice.onFailed(vmId, clock.nowMillis())
        follow(null)
    }

    private fun follow(peer: Peer?) {
        if (peer == following) return
        log.write(
            Event.READER_CHANGED,
            field("before", following?.incarnation?.vmId),
            field("reader", peer?.incarnation?.vmId ?: "store"),
        )
        following = peer
        readsStoreNow.value = peer == null
    }
}
