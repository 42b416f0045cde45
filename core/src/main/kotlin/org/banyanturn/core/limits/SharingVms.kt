package org.banyanturn.core.limits

import org.banyanturn.core.Incarnation

/**
 * Another VM that may admit requests.
 *
 * @property isReachable whether it has said something lately.
 * @property isInGroup whether it said then that its place in the VMs' group is valid, so that it reaches the store.
 */
public data class SharingPeer(val incarnation: Incarnation, val isReachable: Boolean, val isInGroup: Boolean)

/**
 * The VMs that share the limits, as one of them knows them.
 *
 * @property others the other VMs that may admit requests, also those that nothing was heard of lately.
 */
public data class SharingVms(val others: List<SharingPeer>) {
    /** All VMs that may admit requests, this one too. */
    val count: Int
        get() = others.size + 1

    /** VMs that nothing was heard of, which may run on cut off from the others. */
    val isolatedCount: Int
        get() = others.count { !it.isReachable }

    /** VMs that are heard but have lost their place in the group: they may ask a collector that is none any more. */
    val outOfGroup: Set<Incarnation>
        get() = others.filter { it.isReachable && !it.isInGroup }.mapTo(LinkedHashSet()) { it.incarnation }

    /**
     * Returns whether this VM may sum up the members that it owns as far as it knows.
     *
     * Load pattern: the owner of a busy member is cut off from the store, or turned away by it, and another VM takes
     * the member over. Two collectors would give the limit away twice. While the store is out of reach for all, nobody
     * can take over, so the old owner goes on if it hears most of the VMs.
     *
     * @param isInGroup whether this VM's own place in the group is valid.
     */
    public fun mayCollect(isInGroup: Boolean): Boolean {
        if (isInGroup) return true
        val reachable = others.filter { it.isReachable }
        return reachable.none { it.isInGroup } && (reachable.size + 1) * 2 > count
    }
}
