package org.banyanturn.core.limits

import org.banyanturn.core.Incarnation

/**
 * Another VM that may admit requests.
 *
 * @property isReachable whether a message from the VM arrived recently.
 * @property isInGroup whether the VM reported then that its membership in the group is valid, so that it reaches the
 * store.
 */
public data class SharingPeer(val incarnation: Incarnation, val isReachable: Boolean, val isInGroup: Boolean)

/**
 * The VMs that share the limits, as seen by one of them.
 *
 * @property others the other VMs that may admit requests, including unreachable ones.
 */
public data class SharingVms(val others: List<SharingPeer>) {
    /** Number of VMs that may admit requests, including this one. */
    val count: Int
        get() = others.size + 1

    /** Number of unreachable VMs, which may continue to run while isolated from the others. */
    val isolatedCount: Int
        get() = others.count { !it.isReachable }

    /** Reachable VMs whose group membership is not valid; they may report to a collector that was replaced. */
    val outOfGroup: Set<Incarnation>
        get() = others.filter { it.isReachable && !it.isInGroup }.mapTo(LinkedHashSet()) { it.incarnation }

    /**
     * Returns whether this VM may act as collector for the members that it owns according to its own state.
     *
     * When the owner of a member is partitioned from the store, or the store rejects it, another VM takes the member
     * over, and two collectors would grant the limit twice. While no VM reaches the store, no VM can take over, so the
     * previous owner continues if it reaches a majority of the VMs.
     *
     * @param isInGroup whether this VM's own group membership is valid.
     */
    public fun mayCollect(isInGroup: Boolean): Boolean {
        if (isInGroup) return true
        val reachable = others.filter { it.isReachable }
        return reachable.none { it.isInGroup } && (reachable.size + 1) * 2 > count
    }
}
