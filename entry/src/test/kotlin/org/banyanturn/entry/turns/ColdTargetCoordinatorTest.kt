package org.banyanturn.entry.turns

import org.banyanturn.core.TargetId
import org.banyanturn.core.ZoneId
import org.banyanturn.core.serving.CallerLimits
import org.banyanturn.core.serving.Catalog
import org.banyanturn.core.serving.ColdTargetLimit
import org.banyanturn.core.serving.KnownTarget
import org.banyanturn.core.serving.Service
import org.banyanturn.core.serving.ServiceName
import org.banyanturn.core.serving.TargetDirectory
import org.banyanturn.core.serving.TargetEntry
import org.banyanturn.daemon.ProcessClock
import org.banyanturn.entry.observe.DecisionLog
import org.banyanturn.entry.observe.EntryMetrics
import org.banyanturn.entry.requests.FleetView
import org.junit.jupiter.api.Assertions.assertEquals
import org.junit.jupiter.api.Assertions.assertFalse
import org.junit.jupiter.api.Assertions.assertNotNull
import org.junit.jupiter.api.Assertions.assertNull
import org.junit.jupiter.api.Assertions.assertTrue
import org.junit.jupiter.api.Test

private const val EPOCH_MILLIS = 1_800_000_000_000L
private const val START_MILLIS = 3_000L

/** Time from which the first VM, which owns the targets since time 0, grants permits. */
private const val GRANTS_FROM_MILLIS = 2_000L + 550

/** Three VMs send requests to a target that may be cold; the first VM owns it. */
class ColdTargetCoordinatorTest {
    private var nowMillis = 0L
    private val clock = ProcessClock { nowMillis }
    private val service = ServiceName("plain")
    private val targetId = TargetId("i-1")
    private val vms = (1..3).map { Vm("vm-$it") }
    private var isOwnerSilent = false
    private var isLeaseValid = true

    private inner class Vm(val host: String) : ColdPermitTransport {
        val view = FleetView(clock, ZoneId("z"), epochMillis = { EPOCH_MILLIS + nowMillis })
        val received = ArrayList<ColdPermitStep?>()
        var hasGap = false
        val coordinator = ColdTargetCoordinator(
            view,
            ColdTargetSettings(excess = 1.5, slack = 5.0, ownerChangeMillis = 2_000),
            clock,
            DecisionLog(clock, EntryMetrics()),
            EntryMetrics(),
        ).also {
            it.transport = this
            it.checkSuspension = { if (hasGap) it.withdrawPermits() }
        }

        override fun permitOwnerOrNull(targetId: TargetId) = TurnOwner(if (host == "vm-1") null else "vm-1")

        override fun ownedSinceMillisOrNull(targetId: TargetId): Long? = 0L.takeIf { host == "vm-1" && isLeaseValid }

        override fun sendPermit(host: String, message: ColdPermitMessage) {
            if (isOwnerSilent) return
            vms.single { it.host == host }.receive(message, this.host)
        }

        override fun sendPermitToAll(message: ColdPermitMessage): Unit =
            vms.filter { it !== this }.forEach { it.receive(message, host) }

        private fun receive(message: ColdPermitMessage, senderHost: String) {
            received += message.step
            coordinator.onMessage(message, senderHost)
        }
    }

    private fun catalog(limit: ColdTargetLimit?): Catalog =
        Catalog(
            version = 1,
            routes = emptyList(),
            services = mapOf(service to Service(service, "/health", 100, engine = null, limit)),
            members = emptyMap(),
            hasMembers = false,
            callerLimits = CallerLimits(16_384, 65_536, 5_000, 15_000),
        )

    private fun entry(bornEpochMillis: Long, coldMillis: Long? = null, id: String = "i-1") =
        TargetEntry(
            TargetId(id), service, "10.0.0.1:80", ZoneId("z"), 6, false, bornEpochMillis, null, emptyMap(),
            coldMillis = coldMillis,
        )

    private fun list(entry: TargetEntry): Unit =
        vms.forEach { it.view.adopt(it.view.directory.listed(entry, nowMillis)) }

    /** Starts with an empty list, so that targets that are listed later have started while the VMs run. */
    private fun start(limit: ColdTargetLimit? = ColdTargetLimit(20.0, START_MILLIS)) {
        vms.forEach {
            it.view.adopt(catalog(limit))
            it.view.adopt(TargetDirectory.empty())
        }
    }

    private val target: KnownTarget
        get() = checkNotNull(vms.first().view.directory.targets[targetId]) { "the target is listed" }

    @Test
    fun `targets of a service without a limit need no permit`() {
        start(limit = null)
        list(entry(EPOCH_MILLIS, coldMillis = 5_000))
        vms.forEach { assertTrue(it.coordinator.admits(target)) }
        vms.forEach { assertNotNull(it.coordinator.takeOrNull(target)) }
        assertTrue(vms.all { it.received.isEmpty() }, "no messages are sent")
    }

    @Test
    fun `a new target is cold on all VMs whatever the wall clocks say, and then needs no permit`() {
        start()
        nowMillis = 10_000
        list(entry(bornEpochMillis = EPOCH_MILLIS - 3_600_000))
        vms.forEach { assertNull(it.coordinator.takeOrNull(target), "no request without a permit") }
        nowMillis += START_MILLIS
        vms.forEach { assertNotNull(it.coordinator.takeOrNull(target)) }
    }

    /** Guards against all targets counting as cold on a VM that has just started, and against none doing so. */
    @Test
    fun `in its first list a VM takes the age of targets from the wall clock`() {
        val view = FleetView(clock, ZoneId("z"), epochMillis = { EPOCH_MILLIS })
        view.adopt(catalog(ColdTargetLimit(20.0, START_MILLIS)))
        val directory = TargetDirectory.empty().listed(entry(EPOCH_MILLIS - 60_000, id = "old"), 0)
            .listed(entry(EPOCH_MILLIS - 500, id = "new"), 0)
            .listed(entry(EPOCH_MILLIS + 600_000, id = "ahead"), 0)
            .listed(entry(EPOCH_MILLIS - 60_000, coldMillis = 800, id = "again"), 0)
        view.adopt(directory)
        val remaining = directory.targets.map { (id, listed) -> id.value to view.remainingColdMillis(listed) }.toMap()
        assertEquals(mapOf("old" to 0L, "new" to START_MILLIS, "ahead" to START_MILLIS, "again" to 800L), remaining)
    }

    @Test
    fun `each permit serves one request, and permits of all VMs share one rate`() {
        start()
        nowMillis = 10_000
        list(entry(EPOCH_MILLIS))
        val sentAtMillis = ArrayList<Long>()
        while (nowMillis < 10_000 + START_MILLIS - 1) {
            vms.forEach { vm ->
                vm.coordinator.admits(target)
                vm.coordinator.takeOrNull(target)?.let { sentAtMillis += nowMillis }
                vm.coordinator.tick()
            }
            nowMillis++
        }
        val maxInWindow = sentAtMillis.maxOf { from -> sentAtMillis.count { it in from until from + 1_000 } }
        assertTrue(maxInWindow <= 35, "$maxInWindow in a second")
        assertTrue(sentAtMillis.size >= 0.7 * 20 * 3, "${sentAtMillis.size} requests in 3 s")
    }

    /** Guards against requests that are sent because nobody forbids them. */
    @Test
    fun `a VM without an answer, and one whose owner has lost its lease, sends nothing`() {
        start()
        nowMillis = 10_000
        list(entry(EPOCH_MILLIS))
        isLeaseValid = false
        vms.forEach { assertFalse(it.coordinator.admits(target)) }
        isLeaseValid = true
        isOwnerSilent = true
        nowMillis += 400
        assertFalse(vms[1].coordinator.admits(target))
        assertNull(vms[1].coordinator.takeOrNull(target))
    }

    @Test
    fun `a new owner grants nothing while permits of the previous one may be used`() {
        start()
        list(entry(EPOCH_MILLIS))
        while (nowMillis < GRANTS_FROM_MILLIS) {
            vms.forEach { assertFalse(it.coordinator.admits(target), "at $nowMillis ms") }
            nowMillis += 10
        }
    }

    @Test
    fun `a permit ends with its time and with a suspension, also after it was taken`() {
        start()
        nowMillis = 10_000
        list(entry(EPOCH_MILLIS))
        val vm = vms[1]
        assertTrue(vm.coordinator.admits(target))
        val taken = checkNotNull(vm.coordinator.takeOrNull(target)) { "the permit is usable" }
        assertTrue(vm.coordinator.maySend(taken))
        nowMillis += 250
        assertFalse(vm.coordinator.maySend(taken))
        while (!vm.coordinator.admits(target)) nowMillis++
        val second = checkNotNull(vm.coordinator.takeOrNull(target)) { "the permit is usable" }
        vm.hasGap = true
        assertFalse(vm.coordinator.maySend(second))
    }

    /** Guards against VMs that send freely to a target that is cold again until they read its new entry. */
    @Test
    fun `all VMs learn from one response that a target is cold again, and from one message each`() {
        start()
        list(entry(EPOCH_MILLIS))
        nowMillis = 60_000
        vms.forEach { assertTrue(it.coordinator.admits(target)) }
        repeat(5) { vms[2].coordinator.onColdResponse(target, coldMillis = 4_000) }
        vms.forEach { assertTrue(it.view.remainingColdMillis(target) > 0, it.host) }
        assertTrue(vms.all { vm -> vm.received.count { it == ColdPermitStep.COLD } <= 1 }, "one message each")
        val refused = FleetView(clock, ZoneId("z")).also { it.adopt(catalog(ColdTargetLimit(20.0, START_MILLIS))) }
        refused.adopt(TargetDirectory.empty().listed(entry(EPOCH_MILLIS - 60_000_000_000), nowMillis))
        refused.recordConnectionRefused(target)
        assertTrue(refused.remainingColdMillis(target) > 0, "a target that has stopped is cold when it is back")
    }

    @Test
    fun `the news that a target is cold again reach all VMs although the first message is lost`() {
        start()
        list(entry(EPOCH_MILLIS))
        nowMillis = 60_000
        isOwnerSilent = true
        vms[2].coordinator.onColdResponse(target, coldMillis = 4_000)
        assertEquals(0L, vms[0].view.remainingColdMillis(target))
        isOwnerSilent = false
        nowMillis += 1_000
        vms.forEach { it.coordinator.writeSummary() }
        vms.forEach { assertTrue(it.view.remainingColdMillis(target) > 0, it.host) }
    }

    @Test
    fun `invalid messages are ignored`() {
        start()
        list(entry(EPOCH_MILLIS))
        nowMillis = 60_000
        listOf(
            ColdPermitMessage(99, "i-1"),
            ColdPermitMessage(ColdPermitStep.REQUESTED.number, "no id\n", 1),
            ColdPermitMessage(ColdPermitStep.REQUESTED.number, "unknown", 1),
            ColdPermitMessage(ColdPermitStep.GRANTED.number, "i-1", number = 77),
            ColdPermitMessage(ColdPermitStep.COLD.number, "i-1", millis = -3),
            ColdPermitMessage(ColdPermitStep.COLD.number, "i-1", millis = Long.MAX_VALUE),
        ).forEach { vms[0].coordinator.onMessage(it, "vm-2") }
        assertEquals(0L, vms[0].view.remainingColdMillis(target))
        assertTrue(vms[1].received.isEmpty())
    }
}
