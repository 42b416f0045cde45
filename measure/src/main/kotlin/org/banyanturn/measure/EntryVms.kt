package org.banyanturn.measure

import kotlin.random.Random

private const val SAME_ZONE_DELAY_MILLIS = 0.25
private const val JITTER_FRACTION = 0.25

/** The entry VMs of a deployment, the delays between them, and which of them are down or cut off. */
internal class EntryVms(
    private val deployment: Deployment,
    val time: VirtualTime,
    private val random: Random,
    private val lossFraction: Double,
) {
    val count: Int = deployment.vms
    private val isDown = BooleanArray(count)
    private var cutOffZone: Int? = null

    /** Bytes that the VMs have sent to and received from each other for control. */
    var controlBytes: Long = 0
        private set

    fun zoneOf(vm: Int): Int = vm % deployment.zones

    fun isUp(vm: Int): Boolean = !isDown[vm]

    fun isCutOff(vm: Int): Boolean = zoneOf(vm) == cutOffZone

    fun setDown(vm: Int, down: Boolean) {
        isDown[vm] = down
    }

    fun cutOff(zone: Int?) {
        cutOffZone = zone
    }

    /** Returns the VM that the balancer sends a request to which was meant for [vm]. */
    fun balance(vm: Int): Int = (0 until count).map { (vm + it) % count }.first(::isUp)

    /** Delivers a message of [bytes] from [from] to [to] unless it is lost on the way. */
    fun send(from: Int, to: Int, bytes: Int, deliver: () -> Unit) {
        controlBytes += 2L * bytes
        val isCut = isCutOff(from) != isCutOff(to)
        if (isCut || random.nextDouble() < lossFraction) return
        time.after(delayMillis(from, to)) { if (isUp(to)) deliver() }
    }

    private fun delayMillis(from: Int, to: Int): Double {
        val base = if (zoneOf(from) == zoneOf(to)) SAME_ZONE_DELAY_MILLIS else deployment.zoneDelayMillis
        return base + exponential(base * JITTER_FRACTION, random)
    }
}
