package org.banyanturn.core.placement

import org.banyanturn.core.ModelId

/** A load of [modelId] from the weight store that an engine has carried out for [elapsedMillis] so far. */
public data class StoreLoad(val modelId: ModelId, val elapsedMillis: Long)
