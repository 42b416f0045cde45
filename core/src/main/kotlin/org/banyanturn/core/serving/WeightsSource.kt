package org.banyanturn.core.serving

import org.banyanturn.core.ModelId

/** The source from which an engine loads a model's weights. */
public enum class WeightsSource {
    /** The memory of the engine's host. */
    HOST_MEMORY,

    /** The disk of the engine's host. */
    HOST_DISK,

    /** The weight store, which all engines share and which serves only few concurrent loads. */
    STORE,
}

/**
 * The weights that an engine's host has cached in addition to the models that the engine has loaded; the least recently
 * used ones are evicted first.
 *
 * @property inMemory models whose weights are cached in the host's memory.
 * @property onDisk models whose weights are cached on the host's disk.
 */
public data class HostWeights(val inMemory: Set<ModelId> = emptySet(), val onDisk: Set<ModelId> = emptySet()) {
    /** Returns the source of the weights for a load of [modelId]. */
    public fun sourceOf(modelId: ModelId): WeightsSource =
        when (modelId) {
            in inMemory -> WeightsSource.HOST_MEMORY
            in onDisk -> WeightsSource.HOST_DISK
            else -> WeightsSource.STORE
        }

    /** Returns the cached weights after loads of [modelIds], each of which leaves a copy on the disk. */
    public fun withLoaded(modelIds: Set<ModelId>): HostWeights = copy(onDisk = onDisk + modelIds)
}
