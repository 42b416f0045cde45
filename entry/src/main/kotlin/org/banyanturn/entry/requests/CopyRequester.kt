package org.banyanturn.entry.requests

import org.banyanturn.core.serving.KnownTarget

/** When a copy that no target holds can be expected. */
internal sealed interface CopyAvailability {
    /** It is being loaded, or its load was asked for, and is expected to be ready in [readyInMillis]. */
    data class Expected(val readyInMillis: Long) : CopyAvailability

    /** It can't be loaded now; it makes sense to ask again after [retryAfterMillis]. */
    data class Unavailable(val retryAfterMillis: Long) : CopyAvailability
}

/** Has copies loaded that requests wait for. */
internal fun interface CopyRequester {
    /**
     * Asks for the copy of [requirements] to be loaded, unless that is under way, and returns when to expect it.
     *
     * @param modelHolders the targets that hold the model, if an adapter is missing.
     */
    fun request(requirements: TargetRequirements, modelHolders: List<KnownTarget>): CopyAvailability
}
