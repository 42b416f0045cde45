package org.banyanturn.core.placement

/** The total weight of the prior, which is spread evenly over all buckets. */
private const val PRIOR_WEIGHT = 1.0

/**
 * A [KeepAlivePolicy] that evaluates every bucket bound as unload time and chooses the one with the lowest cost.
 *
 * The total cost is the sum of the cost of keeping the copy and the cost of the best prewarm window after that.
 */
internal class LearnedKeepAlive(private val settings: KeepAliveSettings) : KeepAlivePolicy {
    override fun plan(gaps: GapHistogram, coldMillis: Long, memoryShare: Double): KeepAlivePlan {
        val probabilities = gaps.probabilities()
        val coldCost = coldMillis * settings.idleMillisPerColdMillis
        val loadCost = coldMillis * settings.idleMillisPerLoadMillis
        val windows = bestWindows(probabilities, coldCost, loadCost, memoryShare)
        var best = 0
        var bestCost = Double.MAX_VALUE
        for (bound in 0..GapHistogram.BUCKETS) {
            val cost = keepCost(probabilities, bound, coldCost, memoryShare) + windows[bound].cost
            if (cost < bestCost) {
                best = bound
                bestCost = cost
            }
        }
        return KeepAlivePlan(lowerBoundMillis(best).toLong(), windows[best].toPrewarmOrNull())
    }

    override fun evictionCostMillis(gaps: GapHistogram, idleMillis: Long, reloadMillis: Long): Double {
        val probabilities = gaps.probabilities()
        var within = 0.0
        var tail = 0.0
        probabilities.forEachIndexed { bucket, probability ->
            val remainingMillis = lowerBoundMillis(bucket + 1) - idleMillis
            if (remainingMillis > 0) tail += probability
            if (remainingMillis > 0 && remainingMillis <= settings.evictionHorizonMillis) within += probability
        }
        return if (tail == 0.0) 0.0 else reloadMillis * within / tail
    }

    override fun mayEvict(residentMillis: Long, loadMillis: Long): Boolean =
        residentMillis >= settings.minResidentLoads * loadMillis
}

private fun GapHistogram.probabilities(): DoubleArray {
    val total = totalWeight + PRIOR_WEIGHT
    return DoubleArray(GapHistogram.BUCKETS) { (weights[it] + PRIOR_WEIGHT / GapHistogram.BUCKETS) / total }
}

private fun keepCost(probabilities: DoubleArray, bound: Int, coldCost: Double, memoryShare: Double): Double {
    val keptMillis = lowerBoundMillis(bound)
    var cost = 0.0
    probabilities.forEachIndexed { bucket, probability ->
        val isWarm = bucket < bound
        val idleMillis = if (isWarm) middleMillis(bucket) else keptMillis
        cost += probability * (memoryShare * idleMillis + if (isWarm) 0.0 else coldCost)
    }
    return cost
}

/** A prewarm window between two bucket bounds with the cost that it adds, which is negative if the window pays off. */
private data class WindowCost(val from: Int, val until: Int, val cost: Double) {
    fun toPrewarmOrNull(): PrewarmWindow? {
        if (from == until) return null
        return PrewarmWindow(lowerBoundMillis(from).toLong(), lowerBoundMillis(until).toLong())
    }
}

/** Returns for each bucket bound the cheapest window that starts at this bound or later. */
private fun bestWindows(
    probabilities: DoubleArray,
    coldCost: Double,
    loadCost: Double,
    memoryShare: Double,
): List<WindowCost> {
    val none = WindowCost(GapHistogram.BUCKETS, GapHistogram.BUCKETS, 0.0)
    val best = MutableList(GapHistogram.BUCKETS + 1) { none }
    for (from in GapHistogram.BUCKETS - 1 downTo 1) {
        val window = bestWindowFrom(from, probabilities, coldCost, loadCost, memoryShare)
        best[from] = if (window.cost < best[from + 1].cost) window else best[from + 1]
    }
    best[0] = best[1]
    return best
}

private fun bestWindowFrom(
    from: Int,
    probabilities: DoubleArray,
    coldCost: Double,
    loadCost: Double,
    memoryShare: Double,
): WindowCost {
    var best = WindowCost(from, from, 0.0)
    val startMillis = lowerBoundMillis(from)
    val tail = DoubleArray(GapHistogram.BUCKETS + 1)
    for (bucket in GapHistogram.BUCKETS - 1 downTo 0) tail[bucket] = tail[bucket + 1] + probabilities[bucket]
    var coveredCost = tail[from] * loadCost
    for (until in from + 1..GapHistogram.BUCKETS) {
        val bucket = until - 1
        coveredCost += probabilities[bucket] * (memoryShare * (middleMillis(bucket) - startMillis) - coldCost)
        val cost = coveredCost + tail[until] * memoryShare * (lowerBoundMillis(until) - startMillis)
        if (cost < best.cost) best = WindowCost(from, until, cost)
    }
    return best
}
