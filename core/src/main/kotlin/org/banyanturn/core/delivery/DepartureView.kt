package org.banyanturn.core.delivery

import kotlinx.collections.immutable.PersistentMap
import kotlinx.collections.immutable.PersistentSet
import kotlinx.collections.immutable.persistentMapOf
import kotlinx.collections.immutable.persistentSetOf

/** The source of a report that a VM or target leaves. */
public enum class DepartureSource {
    /** The platform's list or the configuration. */
    LIST,

    /** The VM or target itself, by a refusal, by closing an HTTP/2 connection or by a failed readiness check. */
    SELF,

    /** Another VM. */
    PEER,
}

/**
 * The VMs or targets that are known to be leaving; [T] is [org.banyanturn.core.TargetId] or
 * [org.banyanturn.core.VmId].
 *
 * A report from one source is enough to stop new work, so the fastest source decides. Each source can withdraw only its
 * own report.
 */
public data class DepartureView<T>(
    private val leaving: PersistentMap<T, PersistentSet<DepartureSource>> = persistentMapOf(),
) {
    /** Returns the view after [source] reported whether [id] is leaving. */
    public fun observe(id: T, source: DepartureSource, isLeaving: Boolean): DepartureView<T> {
        val known = leaving[id] ?: persistentSetOf()
        val updated = if (isLeaving) known.adding(source) else known.removing(source)
        return DepartureView(if (updated.isEmpty()) leaving.removing(id) else leaving.putting(id, updated))
    }

    /** Returns the view after [id] joined as a new incarnation; earlier reports no longer apply. */
    public fun joined(id: T): DepartureView<T> = DepartureView(leaving.removing(id))

    /** Returns whether [id] may be given new work. */
    public fun acceptsWork(id: T): Boolean = id !in leaving
}
