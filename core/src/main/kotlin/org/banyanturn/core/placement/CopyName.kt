package org.banyanturn.core.placement

import org.banyanturn.core.AdapterId
import org.banyanturn.core.ModelId

/** Identifies a model, or one of its adapters if [adapterId] is set, independently of the engine that holds it. */
public data class CopyName(val modelId: ModelId, val adapterId: AdapterId? = null) {
    /** Whether this names an adapter. */
    val isAdapter: Boolean
        get() = adapterId != null

    /** The name of the model without the adapter. */
    val model: CopyName
        get() = if (isAdapter) CopyName(modelId) else this

    override fun toString(): String = adapterId?.let { "$modelId/$it" } ?: modelId.value
}
