package org.banyanturn.core.delivery

import kotlinx.collections.immutable.PersistentMap
import kotlinx.collections.immutable.PersistentSet
import kotlinx.collections.immutable.persistentMapOf
import kotlinx.collections.immutable.persistentSetOf

/** Who says that a VM or target leaves. */
public enum class DepartureSource {
    /** The platform's list, or the configuration. */
    LIST,

    /** The VM or target itself: by a refusal, a closing HTTP/2 connection or a failed readiness check. */
    SELF,

    /** Another VM. */
    PEER,
}

/**
 * What is known of the VMs or targets that leave; [T] is [org.banyanturn.core.TargetId] or
 * [org.banyanturn.core.VmId].
 *
 * One source is enough to stop new work, so that the fastest decides; each takes back only its own word.
 */
public data class DepartureView<T>(
    private val leaving: PersistentMap<T, PersistentSet<DepartureSource>> = persistentMapOf(),
) {
    /** Returns the view after [source] said whether [id] leaves. */
    public fun observe(id: T, source: DepartureSource, isLeaving: Boolean): DepartureView<T> {
        val known = leaving[id] ?: persistentSetOf()
        val updated = if (isLeaving) known.adding(source) else known.removing(source)
        return DepartureView(if (updated.isEmpty()) leaving.removing(id) else leaving.putting(id, updated))
    }

    /** Returns the view after [id] came back as a new incarnation, of which nobody has said that it leaves. */
    public fun joined(id: T): DepartureView<T> = DepartureView(leaving.removing(id))

    /** Returns whether [id] may get new work. */
    public fun acceptsWork(id: T): Boolean = id !in leaving
}
