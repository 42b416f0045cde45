package org.banyanturn.core.placement

import org.banyanturn.core.AdapterId
import org.banyanturn.core.ModelId

/** Returns the name of a model, or of one of its adapters, whatever engine holds it. */
public data class CopyName(val modelId: ModelId, val adapterId: AdapterId? = null) {
    /** Whether this is an adapter. */
    val isAdapter: Boolean
        get() = adapterId != null

    /** The model, without the adapter. */
    val model: CopyName
        get() = if (isAdapter) CopyName(modelId) else this

    override fun toString(): String = adapterId?.let { "$modelId/$it" } ?: modelId.value
}
