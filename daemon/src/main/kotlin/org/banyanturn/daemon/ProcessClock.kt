package org.banyanturn.daemon

import kotlin.time.TimeSource

/** A monotonic clock that counts milliseconds from an arbitrary origin. */
public fun interface ProcessClock {
    /** Returns the time since the origin in milliseconds. */
    public fun nowMillis(): Long
}

/** Returns a clock that measures the time elapsed since this call with [source]. */
public fun processClock(source: TimeSource = TimeSource.Monotonic): ProcessClock {
    val start = source.markNow()
    return ProcessClock { start.elapsedNow().inWholeMilliseconds }
}
