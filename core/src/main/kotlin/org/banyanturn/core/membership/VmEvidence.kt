package org.banyanturn.core.membership

import org.banyanturn.core.Incarnation
import org.banyanturn.core.ZoneId
import org.banyanturn.core.state.Vm

/** The share of the latest interval in the running mean of intervals. */
private const val INTERVAL_WEIGHT = 0.125

/**
 * What is known of one VM; times are of the observer's active time.
 *
 * @property listed what the platform's list said last, of whatever incarnation.
 * @property isListedGone whether the list turned to gone after this incarnation was heard of; progress after that
 * shows that the list meant an older one.
 * @property isGone whether this incarnation has ended for good.
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
    fun listed(zoneId: ZoneId, status: ListedStatus): VmEvidence {
        val turnedGone = status == ListedStatus.GONE && (incarnation == null || listed != ListedStatus.GONE)
        val isStillGone = isListedGone && status == ListedStatus.GONE
        return copy(zoneId = zoneId, listed = status, isListedGone = turnedGone || isStillGone)
    }

    /** Returns the evidence with what the list said made final, if the VM is silent as well. */
    fun withFinalStatus(policy: MembershipPolicy, activeMillis: Long): VmEvidence =
        if (status(policy, activeMillis) == VmStatus.GONE) copy(isGone = true) else this

    fun heard(event: MembershipEvent.HeartbeatReceived, activeMillis: Long): VmEvidence {
        val known = withIncarnation(event.incarnation) ?: return this
        if (event.progress <= known.progress) return known
        return known.withProgress(activeMillis).copy(
            zoneId = event.zoneId,
            progress = event.progress,
            nextOffset = maxOf(known.nextOffset, event.nextOffset),
            isDraining = known.isDraining || event.isDraining,
        )
    }

    /** Returns the evidence for [heard], fresh if it is a higher incarnation, or `null` if it is an older one. */
    fun withIncarnation(heard: Incarnation): VmEvidence? =
        when {
            incarnation == null || heard.number > incarnation.number -> VmEvidence(zoneId, heard, listed)
            heard.number < incarnation.number -> null
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
