package org.banyanturn.entry.peers

import org.banyanturn.core.ModelId
import org.banyanturn.core.TargetId
import org.banyanturn.core.isIdentifier
import org.banyanturn.core.placement.CopyName
import org.banyanturn.core.placement.CopyRequestResult
import org.banyanturn.entry.copies.OwnedEngineController

/** Replies to requests for copies on the engines that this VM owns, and remembers which VMs wait for a copy. */
internal class OwnedCopyRequests(private val engines: OwnedEngineController) {
    private val waiters = HashMap<Pair<TargetId, CopyName>, MutableMap<String, Long>>()

    /** As [replyTo], for a request of the VM on [senderHost]; returns `null` if the request is malformed. */
    fun onPeerRequest(request: CopyRequestMessage, senderHost: String): CopyReplyMessage? {
        val targetId = request.targetId.takeIf(::isIdentifier)?.let(::TargetId) ?: return null
        val reply = replyTo(request, targetId)
        if (reply.readyInMillis > 0) {
            val copy = copyNameOrNull(request.modelId, request.adapterId) ?: return null
            waiters.getOrPut(targetId to copy) { HashMap() }[senderHost] = request.number
        }
        return reply
    }

    /** Removes the requests that wait for [copy] on [targetId], and returns their numbers by the hosts of their VMs. */
    fun takeWaiters(targetId: TargetId, copy: CopyName): Map<String, Long> =
        waiters.remove(targetId to copy).orEmpty()

    /** Requests the copy of [request] on the engine [targetId], and returns the reply. */
    fun replyTo(request: CopyRequestMessage, targetId: TargetId): CopyReplyMessage {
        val copy = copyNameOrNull(request.modelId, request.adapterId)
            ?: return CopyReplyMessage(request.number, DECLINED, "malformed")
        val victims = request.victims.filter(::isIdentifier).map(::ModelId)
        return when (val result = engines.request(targetId, copy, victims)) {
            null -> CopyReplyMessage(request.number, DECLINED, "not_owner")
            CopyRequestResult.Ready -> CopyReplyMessage(request.number, readyInMillis = 0, targetId = targetId.value)
            is CopyRequestResult.Pending -> CopyReplyMessage(request.number, result.readyInMillis.coerceAtLeast(1))
            is CopyRequestResult.Declined -> CopyReplyMessage(request.number, DECLINED, result.reason.name.lowercase())
        }
    }
}
