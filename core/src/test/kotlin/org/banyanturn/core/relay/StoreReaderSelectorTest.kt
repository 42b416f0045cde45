package org.banyanturn.core.relay

import org.banyanturn.core.VmId
import org.junit.jupiter.api.Assertions.assertEquals
import org.junit.jupiter.api.Assertions.assertTrue
import org.junit.jupiter.api.Test

private const val ZONE_VMS = 30

class StoreReaderSelectorTest {
    private val zone = (1..ZONE_VMS).map { VmId("vm-$it") }

    private fun sources(vms: List<VmId>, nowMillis: Long, selectors: Map<VmId, StoreReaderSelector>) =
        vms.associateWith { selectors.getValue(it).sourceAt(vms - it, nowMillis) }

    @Test
    fun `one VM of a zone reads the store and all others follow it`() {
        val sources = sources(zone, nowMillis = 0, zone.associateWith { StoreReaderSelector(it) })
        val reader = sources.filterValues { it == ListSource.Store }.keys.single()
        assertEquals(setOf<ListSource>(ListSource.Vm(reader)), (sources - reader).values.toSet())
    }

    @Test
    fun `a VM whose reader fails uses the next reader and then the store`() {
        val selectors = zone.associateWith { StoreReaderSelector(it) }
        val firstReader = sources(zone, 0, selectors).entries.single { it.value == ListSource.Store }.key
        val vm = zone.first { it != firstReader }
        val selector = selectors.getValue(vm)
        selector.onFailed(firstReader, nowMillis = 1_000)
        val secondReader = selector.sourceAt(zone - vm, nowMillis = 1_000)
        assertTrue(secondReader != ListSource.Vm(firstReader), "the first reader is in backoff")
        if (secondReader is ListSource.Vm) selector.onFailed(secondReader.vmId, nowMillis = 1_500)
        assertEquals(ListSource.Store, selector.sourceAt(zone - vm, nowMillis = 1_500))
    }

    @Test
    fun `a failed reader is selected again after a backoff that doubles with each failure`() {
        val vm = zone.first { StoreReaderSelector(it).sourceAt(zone - it, 0) != ListSource.Store }
        val selector = StoreReaderSelector(vm)
        val firstReader = selector.sourceAt(zone - vm, 0)
        check(firstReader is ListSource.Vm) { "another VM is the reader" }
        selector.onFailed(firstReader.vmId, nowMillis = 0)
        assertTrue(selector.sourceAt(zone - vm, 1_999) != firstReader)
        assertEquals(firstReader, selector.sourceAt(zone - vm, 2_000))
        selector.onFailed(firstReader.vmId, nowMillis = 2_000)
        assertTrue(selector.sourceAt(zone - vm, 5_999) != firstReader)
        selector.onAnswered(firstReader.vmId)
        assertEquals(firstReader, selector.sourceAt(zone - vm, 2_000))
    }

    @Test
    fun `a VM without peers reads the store`() {
        assertEquals(ListSource.Store, StoreReaderSelector(zone.first()).sourceAt(emptyList(), 0))
    }
}
