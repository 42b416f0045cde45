package org.banyanturn.entry.follow

import com.github.michaelbull.result.Err
import com.github.michaelbull.result.Ok
import com.github.michaelbull.result.Result
import com.github.michaelbull.result.getOrElse
import io.netty.handler.codec.http.FullHttpRequest
import io.netty.handler.codec.http.HttpResponseStatus
import io.netty.handler.codec.http.QueryStringDecoder
import org.banyanturn.core.relay.ChangeLog
import org.banyanturn.core.relay.ChangesSince
import org.banyanturn.core.serving.TargetEntry
import org.banyanturn.daemon.ProcessClock
import org.banyanturn.entry.http.SmallResponse
import org.banyanturn.platform.StoreError
import org.banyanturn.platform.hosted.HttpExchangeCall
import org.banyanturn.platform.hosted.HttpExchanges
import org.banyanturn.platform.hosted.MAX_LIST_REPLY_BYTES
import org.banyanturn.platform.hosted.SocketAddressText

/** The path under which VMs serve the list of targets to each other. */
internal const val TARGET_FEED_PATH = "/targets"

/** The age up to which the list is served to other VMs; an older one means that its reader can't reach the store. */
private const val MAX_AGE_MILLIS = 1_300L

/** The longest time for which a poll is held. */
private const val MAX_WAIT_MILLIS = 2_000L

/** How long a response may take in addition to the requested wait time. */
private const val RESPONSE_MARGIN_MILLIS = 350L

/** How long an encoded snapshot is used, by which the age that it states is too low. */
private const val MAX_SHARED_MILLIS = 100L

private const val STATUS_OK = 200
private const val CONTENT_TYPE = "application/x-protobuf"

/**
 * Serves the list of targets to the other VMs of the zone, by long polls.
 *
 * Not thread-safe: used on the event loop only.
 */
internal class TargetFeed(
    private val follower: TargetFollower,
    private val isCatalogUpToDate: () -> Boolean,
    private val catalogVersion: () -> Long,
    private val clock: ProcessClock,
    private val evacuations: () -> EvacuationsMessage? = { null },
) {
    private val pendingPolls = ArrayList<PendingPoll>()
    private var sharedSnapshot: SharedSnapshot? = null

    /** Responds to [request] through [respond]: at once, or when the list changes or the wait time has passed. */
    fun handle(request: FullHttpRequest, respond: (SmallResponse) -> Unit) {
        val query = QueryStringDecoder(request.uri()).parameters()
        val from = query.position()
        val waitMillis = query["wait"]?.firstOrNull()?.toLongOrNull()?.coerceIn(0, MAX_WAIT_MILLIS) ?: 0
        val mustWait = from != null && isUpToDate() && waitMillis > 0 && hasNoChanges(from)
        if (mustWait) {
            pendingPolls += PendingPoll(from, clock.nowMillis() + waitMillis, respond)
        } else {
            respond(responseTo(from))
        }
    }

    /** Returns the position that is asked for; VMs of a version without epochs state only an offset. */
    private fun Map<String, List<String>>.position(): FeedPosition? {
        val offset = this["from"]?.firstOrNull()?.toLongOrNull() ?: return null
        return FeedPosition(offset, this["epoch"]?.firstOrNull()?.toLongOrNull() ?: follower.changeLog.epoch)
    }

    private fun isUpToDate(): Boolean = follower.ageMillis() <= MAX_AGE_MILLIS && isCatalogUpToDate()

    private fun hasNoChanges(from: FeedPosition): Boolean =
        (follower.changeLog.since(from.offset, from.epoch) as? ChangesSince.Available)?.changes?.isEmpty() == true

    private fun responseTo(from: FeedPosition?): SmallResponse {
        if (!isUpToDate()) return SmallResponse(HttpResponseStatus.SERVICE_UNAVAILABLE)
        val changeLog = follower.changeLog
        if (from != null) return responseWith(changeLog.since(from.offset, from.epoch))
        val nowMillis = clock.nowMillis()
        val shared = sharedSnapshot?.takeIf { it.isUsable(changeLog, nowMillis) }
            ?: SharedSnapshot(changeLog, nowMillis, responseWith(changeLog.snapshot())).also { sharedSnapshot = it }
        return shared.response
    }

    private fun responseWith(changes: ChangesSince<TargetEntry>): SmallResponse {
        val changeLog = follower.changeLog
        val listing = TargetListing(
            changes,
            follower.ageMillis(),
            follower.mayHaveLapsed,
            epoch = changeLog.epoch,
            endOffset = changeLog.nextOffset,
        )
        return SmallResponse(HttpResponseStatus.OK, listing.encode(catalogVersion(), evacuations()), CONTENT_TYPE)
    }

    /** Responds to the polls for which the last read has brought changes. */
    fun onRead(): Unit = respondWhere { !hasNoChanges(it.from) }

    /** Responds to all polls, so that the polling VMs learn of a newer catalog or other evacuated zones. */
    fun onCatalogChange(): Unit = respondWhere { true }

    /** Responds to the polls whose wait time has passed, and to all polls once the list is out of date. */
    fun tick() {
        if (pendingPolls.isEmpty()) return
        val nowMillis = clock.nowMillis()
        val isStale = !isUpToDate()
        respondWhere { isStale || nowMillis >= it.expiresAtMillis }
    }

    private fun respondWhere(isDue: (PendingPoll) -> Boolean) {
        if (pendingPolls.isEmpty()) return
        val due = pendingPolls.filter(isDue)
        pendingPolls.removeAll(due.toSet())
        due.groupBy { it.from }.forEach { (from, polls) ->
            val response = responseTo(from)
            polls.forEach { it.respond(response) }
        }
    }
}

/**
 * The encoded snapshot of [changeLog] as of [atMillis].
 *
 * After a rollback of the store all VMs of a zone ask for a snapshot at once; encoding it for each would hold up the
 * event loop.
 */
private class SharedSnapshot(
    private val changeLog: ChangeLog<TargetEntry>,
    private val atMillis: Long,
    val response: SmallResponse,
) {
    fun isUsable(current: ChangeLog<TargetEntry>, nowMillis: Long): Boolean =
        changeLog === current && nowMillis - atMillis <= MAX_SHARED_MILLIS
}

/** An offset in the list of targets, in an epoch of the store. */
private data class FeedPosition(val offset: Long, val epoch: Long)

/** Represents a long poll that waits for a change at or after [from]. */
private class PendingPoll(val from: FeedPosition, val expiresAtMillis: Long, val respond: (SmallResponse) -> Unit)

/** Reads the list of targets from the VM at [address]. */
internal class PeerTargetList(
    private val address: SocketAddressText,
    private val exchanges: HttpExchanges,
    private val onEvacuations: (message: EvacuationsMessage, host: String) -> Unit = { _, _ -> },
    private val onCatalogVersion: (version: Long, host: String) -> Unit,
) : TargetListSource {
    override suspend fun snapshot(): Result<TargetListing, StoreError> = request(query = "", waitMillis = 0)

    override suspend fun since(offset: Long, epoch: Long, waitMillis: Long): Result<TargetListing, StoreError> =
        request("?from=$offset&wait=$waitMillis&epoch=$epoch", waitMillis)

    private suspend fun request(query: String, waitMillis: Long): Result<TargetListing, StoreError> {
        val call =
            HttpExchangeCall(
                "GET",
                TARGET_FEED_PATH + query,
                timeoutMillis = waitMillis + RESPONSE_MARGIN_MILLIS,
                maxReplyBytes = MAX_LIST_REPLY_BYTES,
            )
        val response = exchanges.call(address, call).getOrElse { return Err(StoreError.Unreachable(it.reason)) }
        if (response.statusCode != STATUS_OK) return Err(StoreError.Refused(response.statusCode))
        val page = decodeTargetFeedPageOrNull(response.body) ?: return Err(StoreError.Malformed("a page of the feed"))
        onCatalogVersion(page.catalogVersion, address.host)
        page.evacuations?.let { onEvacuations(it, address.host) }
        return Ok(page.toListing())
    }
}

private fun TargetFeedPage.toListing(): TargetListing {
    val changes: ChangesSince<TargetEntry> = if (isForgotten) {
        ChangesSince.SnapshotRequired
    } else {
        ChangesSince.Available(this.changes.map { it.toChange() }, nextOffset)
    }
    return TargetListing(changes, ageMillis, mayHaveLapsed, epoch = epoch, endOffset = endOffset)
}
