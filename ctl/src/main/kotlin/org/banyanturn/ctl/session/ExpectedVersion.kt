package org.banyanturn.ctl.session

import org.banyanturn.core.state.Change
import org.banyanturn.core.state.DeclareAdapter
import org.banyanturn.core.state.DeclareModel
import org.banyanturn.core.state.DeclareRoute
import org.banyanturn.core.state.DeclareTarget
import org.banyanturn.core.state.FleetState
import org.banyanturn.core.state.NO_VERSION
import org.banyanturn.core.state.SetCopies
import org.banyanturn.core.state.SetRate

/**
 * Returns the version of the item that [change] replaces, so that of two racing orders one is rejected.
 *
 * Returns `null` where the order of the two makes no difference, as when a key is withdrawn twice.
 */
internal fun FleetState.expectedVersionOrNull(change: Change): Long? =
    when (change) {
        is SetRate -> members[change.memberId]?.version ?: NO_VERSION
        is SetCopies -> models[change.modelId]?.version ?: NO_VERSION
        is DeclareModel -> models[change.modelId]?.version ?: NO_VERSION
        is DeclareAdapter -> adapters[change.adapterId]?.version ?: NO_VERSION
        is DeclareTarget -> targets[change.targetId]?.version ?: NO_VERSION
        is DeclareRoute -> routes[change.routeName]?.version ?: NO_VERSION
        else -> null
    }
