package org.banyanturn.measure

private const val COLLECTIONS = 2

/** Returns the bytes of heap that the result of [build] keeps in use, as seen after garbage collections. */
internal fun retainedBytes(build: () -> Any): Double {
    val before = usedBytes()
    val result = build()
    val after = usedBytes()
    java.lang.ref.Reference.reachabilityFence(result)
    return (after - before).toDouble()
}

private fun usedBytes(): Long {
    repeat(COLLECTIONS) { System.gc() }
    val runtime = Runtime.getRuntime()
    return runtime.totalMemory() - runtime.freeMemory()
}
