package org.banyanturn.entry.follow

import com.github.michaelbull.result.Err
import com.github.michaelbull.result.Ok
import com.github.michaelbull.result.Result
import com.github.michaelbull.result.getOrElse
import io.netty.handler.codec.http.FullHttpRequest
import io.netty.handler.codec.http.HttpResponseStatus
import io.netty.handler.codec.http.QueryStringDecoder
import org.banyanturn.core.relay.ChangesSince
import org.banyanturn.core.serving.TargetEntry
import org.banyanturn.daemon.ProcessClock
import org.banyanturn.entry.http.SmallResponse
import org.banyanturn.platform.StoreError
import org.banyanturn.platform.hosted.HttpExchangeCall
import org.banyanturn.platform.hosted.HttpExchanges
import org.banyanturn.platform.hosted.SocketAddressText

/** Path at which VMs ask each other for the list of targets. */
internal const val TARGET_FEED_PATH = "/targets"

/** A list of this age is handed to no other VM: its reader has lost the store. */
private const val MAX_AGE_MILLIS = 1_300L

/** The longest time that a question is held. */
private const val MAX_WAIT_MILLIS = 2_000L

/** How long an answer may take beyond the time that the question may be held. */
private const val ANSWER_MILLIS = 350L

private const val STATUS_OK = 200
private const val CONTENT_TYPE = "application/x-protobuf"

/** Answers other VMs of the zone that follow the list of targets through this one; used on the event loop only. */
internal class TargetFeed(
    private val follower: TargetFollower,
    private val isCatalogFollowed: () -> Boolean,
    private val catalogVersion: () -> Long,
    private val clock: ProcessClock,
) {
    private val held = ArrayList<HeldQuestion>()

    /** Answers [request] by [respond], at once or when something changes. */
    fun answer(request: FullHttpRequest, respond: (SmallResponse) -> Unit) {
        val query = QueryStringDecoder(request.uri()).parameters()
        val from = query["from"]?.firstOrNull()?.toLongOrNull()
        val waitMillis = query["wait"]?.firstOrNull()?.toLongOrNull()?.coerceIn(0, MAX_WAIT_MILLIS) ?: 0
        val isHeld = from != null && isUpToDate() && waitMillis > 0 && hasNoNews(from)
        if (isHeld) {
            held += HeldQuestion(from, clock.nowMillis() + waitMillis, respond)
        } else {
            respond(answerTo(from))
        }
    }

    private fun isUpToDate(): Boolean = follower.ageMillis() <= MAX_AGE_MILLIS && isCatalogFollowed()

    private fun hasNoNews(from: Long): Boolean =
        (follower.known.since(from) as? ChangesSince.Available)?.changes?.isEmpty() == true

    private fun answerTo(from: Long?): SmallResponse {
        if (!isUpToDate()) return SmallResponse(HttpResponseStatus.SERVICE_UNAVAILABLE)
        val changes = if (from == null) follower.known.snapshot() else follower.known.since(from)
        val listing = TargetListing(changes, follower.ageMillis(), follower.mayHaveLapsed)
        return SmallResponse(HttpResponseStatus.OK, listing.encode(catalogVersion()), CONTENT_TYPE)
    }

    /** Answers the questions that the last read has brought an answer to. */
    fun onRead(): Unit = answerWhere { !hasNoNews(it.from) }

    /** Answers all questions, so that those who follow learn of a newer catalog. */
    fun onCatalogChange(): Unit = answerWhere { true }

    /** Answers the questions that were held for as long as they may be, or that have no answer any more. */
    fun tick() {
        if (held.isEmpty()) return
        val nowMillis = clock.nowMillis()
        val isLate = !isUpToDate()
        answerWhere { isLate || nowMillis >= it.untilMillis }
    }

    private fun answerWhere(isDue: (HeldQuestion) -> Boolean) {
        if (held.isEmpty()) return
        val due = held.filter(isDue)
        held.removeAll(due.toSet())
        due.groupBy { it.from }.forEach { (from, questions) ->
            val answer = answerTo(from)
            questions.forEach { it.respond(answer) }
        }
    }
}

/** A question that waits for something after the offset [from]. */
private class HeldQuestion(val from: Long, val untilMillis: Long, val respond: (SmallResponse) -> Unit)

/** The list of targets as the VM at [address] tells it. */
internal class PeerTargetList(
    private val address: SocketAddressText,
    private val exchanges: HttpExchanges,
    private val onCatalogVersion: (version: Long, host: String) -> Unit,
) : TargetListSource {
    override suspend fun snapshot(): Result<TargetListing, StoreError> = ask(query = "", waitMillis = 0)

    override suspend fun since(offset: Long, waitMillis: Long): Result<TargetListing, StoreError> =
        ask("?from=$offset&wait=$waitMillis", waitMillis)

    private suspend fun ask(query: String, waitMillis: Long): Result<TargetListing, StoreError> {
        val call = HttpExchangeCall("GET", TARGET_FEED_PATH + query, timeoutMillis = waitMillis + ANSWER_MILLIS)
        val reply = exchanges.call(address, call).getOrElse { return Err(StoreError.Unreachable(it.reason)) }
        if (reply.statusCode != STATUS_OK) return Err(StoreError.Refused(reply.statusCode))
        val page = decodeFeedPageOrNull(reply.body) ?: return Err(StoreError.Malformed("a page of the feed"))
        onCatalogVersion(page.catalogVersion, address.host)
        return Ok(page.toListing())
    }
}

private fun TargetFeedPage.toListing(): TargetListing {
    val changes: ChangesSince<TargetEntry> = if (isForgotten) {
        ChangesSince.SnapshotRequired
    } else {
        ChangesSince.Available(this.changes.map { it.toChange() }, nextOffset)
    }
    return TargetListing(changes, ageMillis, mayHaveLapsed)
}
