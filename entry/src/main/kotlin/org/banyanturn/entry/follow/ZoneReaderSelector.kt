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

/** Represents another VM of this zone and its list of targets. */
internal class ZoneReader(val peer: Peer, val list: TargetListSource)

/** Selects the VM that reads the platform's store for its zone, by the group's list of VMs and their responses. */
internal class ZoneReaderSelector(
    private val self: Peer,
    private val zoneVms: () -> Set<Peer>,
    private val targetListOf: (Peer) -> TargetListSource,
    private val clock: ProcessClock,
    private val log: DecisionLog,
) {
    private val selector = StoreReaderSelector(self.incarnation.vmId)
    private val readsStoreNow = MutableStateFlow(true)
    private var currentReader: Peer? = null

    /** Whether this VM reads the store itself. */
    val readsStore: StateFlow<Boolean> = readsStoreNow.asStateFlow()

    /** Returns the VM to read from, or `null` if this VM reads the store itself. */
    fun readerOrNull(): ZoneReader? {
        val otherZoneVms = zoneVms().filter { it.zoneId == self.zoneId && it.incarnation.vmId != self.incarnation.vmId }
        val peersByVm = otherZoneVms.associateBy { it.incarnation.vmId }
        val source = selector.sourceAt(peersByVm.keys, clock.nowMillis())
        val peer = (source as? ListSource.Vm)?.let { peersByVm.getValue(it.vmId) }
        setReader(peer)
        return peer?.let { ZoneReader(it, targetListOf(it)) }
    }

    /** Records whether [reader] returned an up-to-date list; if not, reads go to the store until the next selection. */
    fun onResponse(reader: ZoneReader, isUpToDate: Boolean) {
        val vmId = reader.peer.incarnation.vmId
        if (isUpToDate) return selector.onAnswered(vmId)
        selector.onFailed(vmId, clock.nowMillis())
        setReader(null)
    }

    private fun setReader(peer: Peer?) {
        if (peer == currentReader) return
        log.write(
            Event.READER_CHANGED,
            field("before", currentReader?.incarnation?.vmId),
            field("reader", peer?.incarnation?.vmId ?: "store"),
        )
        currentReader = peer
        readsStoreNow.value = peer == null
    }
}
