package org.banyanturn.core.placement

import kotlinx.collections.immutable.PersistentSet
import kotlinx.collections.immutable.persistentSetOf
import org.banyanturn.core.state.CopyKey

/**
 * The copies that an engine held at some time, according to its report. The time may be well in the past.
 *
 * @property incarnation the incarnation of the engine, which changes when the engine restarts empty.
 * @property loaded the copies that can serve requests.
 * @property loading the copies whose load has started.
 * @property asOfMillis a lower bound of the time for which the report is valid, by the reader's monotonic clock: the
 * time at which the report was requested, minus the age given by the engine.
 */
public data class EngineSnapshot(
    val incarnation: Long,
    val loaded: PersistentSet<CopyKey> = persistentSetOf(),
    val loading: PersistentSet<CopyKey> = persistentSetOf(),
    val asOfMillis: Long,
)

/** Returns whether the engine held [copy], either loaded or loading. */
public operator fun EngineSnapshot.contains(copy: CopyKey): Boolean = copy in loaded || copy in loading
