package org.banyanturn.core.relay

import org.banyanturn.core.VmId
import org.junit.jupiter.api.Assertions.assertEquals
import org.junit.jupiter.api.Assertions.assertTrue
import org.junit.jupiter.api.Test

private const val ZONE_VMS = 30

class StoreReaderSelectorTest {
    private val zone = (1..ZONE_VMS).map { VmId("vm-$it") }

    private fun sources(vms: List<VmId>, nowMillis: Long, readers: Map<VmId, StoreReaderSelector>) =
        vms.associateWith { readers.getValue(it).sourceAt(vms - it, nowMillis) }

    @Test
    fun `one VM of a zone reads the store and all others follow it`() {
        val sources = sources(zone, nowMillis = 0, zone.associateWith { StoreReaderSelector(it) })
        val reader = sources.filterValues { it == ListSource.Store }.keys.single()
        assertEquals(setOf<ListSource>(ListSource.Vm(reader)), (sources - reader).values.toSet())
    }

    @Test
    fun `a VM that hears nothing from its reader turns to the next one, and then to the store`() {
        val readers = zone.associateWith { StoreReaderSelector(it) }
        val first = sources(zone, 0, readers).entries.single { it.value == ListSource.Store }.key
        val vm = zone.first { it != first }
        val own = readers.getValue(vm)
        own.onFailed(first, nowMillis = 1_000)
        val second = own.sourceAt(zone - vm, nowMillis = 1_000)
        assertTrue(second != ListSource.Vm(first), "the first reader is left alone")
        if (second is ListSource.Vm) own.onFailed(second.vmId, nowMillis = 1_500)
        assertEquals(ListSource.Store, own.sourceAt(zone - vm, nowMillis = 1_500))
    }

    @Test
    fun `a reader that failed is asked again later, each time after a longer silence`() {
        val vm = zone.first { StoreReaderSelector(it).sourceAt(zone - it, 0) != ListSource.Store }
        val own = StoreReaderSelector(vm)
        val first = own.sourceAt(zone - vm, 0)
        check(first is ListSource.Vm) { "another VM reads" }
        own.onFailed(first.vmId, nowMillis = 0)
        assertTrue(own.sourceAt(zone - vm, 1_999) != first)
        assertEquals(first, own.sourceAt(zone - vm, 2_000))
        own.onFailed(first.vmId, nowMillis = 2_000)
        assertTrue(own.sourceAt(zone - vm, 5_999) != first)
        own.onAnswered(first.vmId)
        assertEquals(first, own.sourceAt(zone - vm, 2_000))
    }

    @Test
    fun `a VM that knows no other reads the store`() {
        assertEquals(ListSource.Store, StoreReaderSelector(zone.first()).sourceAt(emptyList(), 0))
    }
}
