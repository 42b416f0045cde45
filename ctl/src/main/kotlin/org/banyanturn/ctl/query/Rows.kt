package org.banyanturn.ctl.query

import org.banyanturn.core.state.Copy
import org.banyanturn.core.state.FleetState
import org.banyanturn.core.state.Member
import org.banyanturn.core.state.Model
import org.banyanturn.core.state.Target
import org.banyanturn.core.state.Vm
import org.banyanturn.core.state.claimedCopiesOf
import org.banyanturn.core.state.reservedMebibytesOn

/** Returns one row for each item of [collection], in no particular order. */
internal fun FleetState.rowsOf(collection: Collection): List<Row> =
    when (collection) {
        Collection.MEMBERS -> members.values.map(::memberRow)

        Collection.KEYS -> keys.values.map {
            rowOf(text(it.keyId), text(it.memberId), flag(it.isWithdrawn), number(it.version))
        }

        Collection.MODELS -> models.values.map(::modelRow)

        Collection.ADAPTERS -> adapters.values.map {
            rowOf(
                text(it.adapterId),
                text(it.modelId),
                text(it.declaredVersion),
                number(it.memoryMebibytes),
                number(it.version),
            )
        }

        Collection.COPIES -> copies.values.filter(Copy::isReady).map(::copyRow)

        Collection.LOADS -> copies.values.filterNot(Copy::isReady).map(::copyRow)

        Collection.CLAIMS -> copies.values.map(::copyRow)

        Collection.TARGETS -> targets.values.map(::targetRow)

        Collection.VMS -> vms.values.map(::vmRow)

        Collection.ROUTES -> routes.values.map {
            rowOf(
                text(it.routeName),
                text(it.targetIds.joinToString()),
                flag(it.isOpen),
                text(it.idempotentMethods.joinToString()),
                number(it.version),
            )
        }
    }

private fun FleetState.memberRow(member: Member): Row {
    val liveKeys = keys.values.count { it.memberId == member.memberId && !it.isWithdrawn }
    return rowOf(
        text(member.memberId),
        number(member.ratePerSecond),
        number(member.burst),
        number(liveKeys),
        number(member.version),
    )
}

private fun FleetState.modelRow(model: Model): Row {
    val claims = claimedCopiesOf(model.modelId)
    return rowOf(
        text(model.modelId),
        text(model.declaredVersion),
        number(model.memoryMebibytes),
        number(model.copies),
        number(claims.size),
        number(claims.count(Copy::isReady)),
        number(model.version),
    )
}

private fun copyRow(copy: Copy): Row =
    rowOf(
        text(copy.key.targetId),
        text(copy.key.modelId),
        text(copy.key.adapterId),
        text(copy.key.modelVersion),
        flag(copy.isReady),
        number(copy.version),
    )

private fun FleetState.targetRow(target: Target): Row =
    rowOf(
        text(target.targetId),
        text(target.kind.name.lowercase()),
        text(target.address),
        text(target.zoneId),
        number(target.memoryMebibytes),
        number(reservedMebibytesOn(target.targetId)),
        text(if (target.checksFencing) "checked" else "ignored"),
        flag(target.isDraining),
        text(owners[target.targetId]?.incarnation),
        number(target.version),
    )

private fun vmRow(vm: Vm): Row =
    rowOf(
        text(vm.incarnation.vmId),
        text(vm.zoneId),
        number(vm.incarnation.number),
        text(vm.routerPeerAddress),
        text(vm.placerPeerAddress),
        flag(vm.isDraining),
        flag(vm.hasLeft),
        number(vm.version),
    )
