package org.banyanturn.standin

import org.banyanturn.platform.CacheTier
import org.banyanturn.platform.LoadUnit

/** Checkpoints cached on an engine's VM: the least recently used move from memory to disk, then are dropped. */
internal class CheckpointCache(memoryMebibytes: Long, diskMebibytes: Long) {
    private val memory = CacheLevel(memoryMebibytes)
    private val disk = CacheLevel(diskMebibytes)

    /** Returns where [unit] is cached. */
    fun tierOf(unit: LoadUnit): CacheTier =
        when (unit) {
            in memory -> CacheTier.MEMORY
            in disk -> CacheTier.DISK
            else -> CacheTier.REMOTE
        }

    /** Adds or refreshes [unit]. */
    fun put(unit: LoadUnit, mebibytes: Long) {
        disk.remove(unit)
        memory.put(unit, mebibytes).forEach { (evicted, size) -> disk.put(evicted, size) }
    }

    /** Returns the units in memory and on disk with their tiers. */
    fun tiers(): Map<LoadUnit, CacheTier> = (disk.units() + memory.units()).associateWith(::tierOf)

    /** Drops what a restart of the process loses. */
    fun clearMemory(): Unit = memory.clear()
}

private class CacheLevel(private val capacityMebibytes: Long) {
    private val sizes = LinkedHashMap<LoadUnit, Long>()

    operator fun contains(unit: LoadUnit): Boolean = unit in sizes

    fun units(): Set<LoadUnit> = sizes.keys.toSet()

    fun remove(unit: LoadUnit) {
        sizes.remove(unit)
    }

    fun clear(): Unit = sizes.clear()

    /** Puts [unit] and returns what had to leave. */
    fun put(unit: LoadUnit, mebibytes: Long): Map<LoadUnit, Long> {
        sizes.remove(unit)
        sizes[unit] = mebibytes
        val evicted = LinkedHashMap<LoadUnit, Long>()
        while (sizes.values.sum() > capacityMebibytes) {
            val oldest = sizes.keys.first()
            evicted[oldest] = sizes.getValue(oldest)
            sizes.remove(oldest)
        }
        return evicted
    }
}
