package org.banyanturn.entry.requests

import org.banyanturn.core.serving.KnownTarget

/** Represents when a copy that no target holds can be expected. */
internal sealed interface CopyAvailability {
    /** The copy is being loaded, or its load has been requested; it is expected to be ready in [readyInMillis]. */
    data class Expected(val readyInMillis: Long) : CopyAvailability

    /** The copy can't be loaded now; the request may be retried after [retryAfterMillis]. */
    data class Unavailable(val retryAfterMillis: Long) : CopyAvailability
}

/** Requests loads of copies that requests wait for. */
internal fun interface CopyRequester {
    /**
     * Requests the copy of [requirements], unless that is already pending, and returns when to expect it.
     *
     * @param modelHolders the targets that hold the model, if only an adapter is missing.
     */
    fun request(requirements: TargetRequirements, modelHolders: List<KnownTarget>): CopyAvailability
}
