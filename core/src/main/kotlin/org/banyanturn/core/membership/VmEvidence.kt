package org.banyanturn.core.membership

import org.banyanturn.core.Incarnation
import org.banyanturn.core.ZoneId
import org.banyanturn.core.state.Vm

/** The weight of the latest interval in the exponentially weighted moving average of intervals. */
private const val INTERVAL_WEIGHT = 0.125

/**
 * The evidence of one VM's status. Times are in the active time of the observing VM, which excludes its own pauses.
 *
 * @property listed the latest status in the platform's list, of any incarnation.
 * @property isListedGone whether the listed status changed to gone after this incarnation was first observed; progress
 * after that shows that the list referred to an older incarnation.
 * @property isGone whether this incarnation has ended permanently.
 * @property progress the highest progress number received in a heartbeat.
 * @property progressAtMillis time of the latest observed progress, or `null` if there was none.
 * @property meanIntervalMillis moving average of the time between two observations of progress.
 */
internal data class VmEvidence(
    val zoneId: ZoneId,
    val incarnation: Incarnation? = null,
    val listed: ListedStatus? = null,
    val isListedGone: Boolean = false,
    val isGone: Boolean = false,
    val isDraining: Boolean = false,
    val progress: Long = Long.MIN_VALUE,
    val nextOffset: Long = 0,
    val progressAtMillis: Long? = null,
    val meanIntervalMillis: Double = 0.0,
) {
    fun withListing(zoneId: ZoneId, status: ListedStatus): VmEvidence {
        val turnedGone = status == ListedStatus.GONE && (incarnation == null || listed != ListedStatus.GONE)
        val isStillGone = isListedGone && status == ListedStatus.GONE
        return copy(zoneId = zoneId, listed = status, isListedGone = turnedGone || isStillGone)
    }

    /** Returns the evidence with [isGone] set if the VM is listed as gone and makes no progress either. */
    fun withFinalStatus(policy: MembershipPolicy, activeMillis: Long): VmEvidence =
        if (status(policy, activeMillis) == VmStatus.GONE) copy(isGone = true) else this

    fun withHeartbeat(event: MembershipEvent.HeartbeatReceived, activeMillis: Long): VmEvidence {
        val known = withIncarnation(event.incarnation) ?: return this
        if (event.progress <= known.progress) return known
        return known.withProgress(activeMillis).copy(
            zoneId = event.zoneId,
            progress = event.progress,
            nextOffset = maxOf(known.nextOffset, event.nextOffset),
            isDraining = known.isDraining || event.isDraining,
        )
    }

    /** Returns the evidence of [observed]: empty if it is a newer incarnation, or `null` if it is an older one. */
    fun withIncarnation(observed: Incarnation): VmEvidence? =
        when {
            incarnation == null || observed.number > incarnation.number -> VmEvidence(zoneId, observed, listed)
            observed.number < incarnation.number -> null
            else -> this
        }

    fun withProgress(activeMillis: Long): VmEvidence {
        if (progressAtMillis == null) return copy(progressAtMillis = activeMillis, isListedGone = false)
        val intervalMillis = (activeMillis - progressAtMillis).toDouble()
        val mean = when (meanIntervalMillis) {
            0.0 -> intervalMillis
            else -> meanIntervalMillis + INTERVAL_WEIGHT * (intervalMillis - meanIntervalMillis)
        }
        return copy(progressAtMillis = activeMillis, meanIntervalMillis = mean, isListedGone = false)
    }

    fun status(policy: MembershipPolicy, activeMillis: Long): VmStatus =
        when {
            isGone || (isListedGone && isUnheardOrSilent(policy, activeMillis)) -> VmStatus.GONE
            isSilent(policy, activeMillis) -> VmStatus.SUSPECT
            isDraining || listed == ListedStatus.LEAVING -> VmStatus.LEAVING
            else -> VmStatus.LIVE
        }

    private fun isUnheardOrSilent(policy: MembershipPolicy, activeMillis: Long): Boolean =
        progressAtMillis == null || isSilent(policy, activeMillis)

    private fun isSilent(policy: MembershipPolicy, activeMillis: Long): Boolean {
        if (progressAtMillis == null) return false
        val limitMillis = maxOf(policy.minSuspicionMillis.toDouble(), policy.missedIntervals * meanIntervalMillis)
        return activeMillis - progressAtMillis > limitMillis
    }
}

internal fun VmEvidence?.withVm(vm: Vm): VmEvidence {
    val known = (this ?: VmEvidence(vm.zoneId)).withIncarnation(vm.incarnation) ?: return checkNotNull(this)
    return known.copy(
        zoneId = vm.zoneId,
        isGone = known.isGone || vm.hasLeft,
        isDraining = known.isDraining || vm.isDraining,
    )
}
