package org.banyanturn.core.serving

import org.banyanturn.core.ModelId

/** Where an engine takes a model's weights from when it loads the model. */
public enum class WeightsSource {
    /** The memory of the engine's host. */
    HOST_MEMORY,

    /** The disk of the engine's host. */
    HOST_DISK,

    /** The weight store, which all engines share and which serves few loads at once. */
    STORE,
}

/**
 * Weights that an engine's host keeps besides what the engine holds; the least recently used go first.
 *
 * @property inMemory models whose weights are in the host's memory.
 * @property onDisk models whose weights are on the host's disk.
 */
public data class HostWeights(val inMemory: Set<ModelId> = emptySet(), val onDisk: Set<ModelId> = emptySet()) {
    /** Returns where a load of [modelId] takes the weights from. */
    public fun sourceOf(modelId: ModelId): WeightsSource =
        when (modelId) {
            in inMemory -> WeightsSource.HOST_MEMORY
            in onDisk -> WeightsSource.HOST_DISK
            else -> WeightsSource.STORE
        }

    /** Returns these weights with those of [modelIds] on the disk, since every load leaves a copy there. */
    public fun withLoaded(modelIds: Set<ModelId>): HostWeights = copy(onDisk = onDisk + modelIds)
}
