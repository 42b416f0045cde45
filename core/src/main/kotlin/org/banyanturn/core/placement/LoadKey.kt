package org.banyanturn.core.placement

import org.banyanturn.core.AdapterId
import org.banyanturn.core.ModelId
import org.banyanturn.core.TargetId
import org.banyanturn.core.state.CopyKey

/** Identifies a model version, or an adapter version on top of a model, independently of the engine that loads it. */
public data class LoadKey(val modelId: ModelId, val adapterId: AdapterId?, val version: String)

/** Returns the key of the copy of this model or adapter version on the engine [targetId]. */
public fun LoadKey.on(targetId: TargetId): CopyKey = CopyKey(targetId, modelId, adapterId, version)

/** Returns the key of the model or adapter version that this is a copy of. */
public fun CopyKey.toLoadKey(): LoadKey = LoadKey(modelId, adapterId, modelVersion)

/** The storage tier from which an engine loads a checkpoint. */
public enum class CheckpointTier {
    /** The checkpoint is cached in the memory of the engine's VM. */
    MEMORY,

    /** The checkpoint is cached on the disk of the engine's VM. */
    DISK,

    /** The checkpoint is available only from the weight store. */
    REMOTE,
}

/** A class of loads that share one concurrency limit. */
public enum class LoadLane {
    /** Loads of model checkpoints from the weight store, limited by its bandwidth. */
    STORE,

    /** Loads of adapters, limited over all engines. */
    ADAPTER,

    /** Loads of checkpoints cached at the engine, which share no limited resource. */
    LOCAL,
}

/** Returns the lane for loading this from [tier]. */
public fun LoadKey.laneFrom(tier: CheckpointTier): LoadLane =
    when {
        adapterId != null -> LoadLane.ADAPTER
        tier == CheckpointTier.REMOTE -> LoadLane.STORE
        else -> LoadLane.LOCAL
    }
