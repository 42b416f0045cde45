package org.banyanturn.placer.loads

import org.banyanturn.core.placement.LoadKey
import org.banyanturn.core.state.CopyKey
import org.banyanturn.platform.LoadUnit

/** Returns what this unit is called in the core. */
internal fun LoadUnit.toLoadKey(): LoadKey = LoadKey(modelId, adapterId, version)

/** Returns what this is a copy of, in the form of the platform's ports. */
internal fun CopyKey.toUnit(): LoadUnit = LoadUnit(modelId, adapterId, modelVersion)
