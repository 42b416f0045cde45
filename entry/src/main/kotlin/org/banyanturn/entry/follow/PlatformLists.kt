package org.banyanturn.entry.follow

import io.netty.handler.codec.http.FullHttpRequest
import io.netty.handler.codec.http.HttpResponseStatus
import kotlinx.coroutines.CoroutineScope
import kotlinx.coroutines.launch
import org.banyanturn.daemon.ProcessClock
import org.banyanturn.entry.http.SmallResponse
import org.banyanturn.entry.observe.DecisionLog
import org.banyanturn.entry.requests.FleetView
import org.banyanturn.entry.superviseForever
import org.banyanturn.platform.hosted.HostedStore
import org.banyanturn.platform.hosted.HttpExchanges
import org.banyanturn.platform.hosted.SocketAddressText
import kotlin.random.Random

/**
 * Keeps the catalog and the list of targets of [view] up to date, and hands them on to other VMs.
 *
 * @param port the port at which VMs ask each other for these lists; the same on all VMs.
 */
internal class PlatformLists(
    self: Peer,
    ownership: Ownership,
    store: HostedStore,
    private val port: Int,
    private val exchanges: HttpExchanges,
    private val view: FleetView,
    private val scope: CoroutineScope,
    clock: ProcessClock,
    log: DecisionLog,
    random: Random,
) {
    private val readers = ZoneReaderSelector(self, ownership::peers, ::listOf, clock, log)
    private val catalog =
        CatalogFollower(store.declarations, view, StoreOutageTracker("catalog", clock, log), log, readers.readsStore, random)
    private val stored = StoredTargetList(store.targets, StoreOutageTracker("targets", clock, log), log)
    private val targets = TargetFollower(stored, readers, view, clock, log, random)
    private val feed = TargetFeed(targets, catalog::isUpToDate, { view.catalog?.version ?: NO_VERSION }, clock)

    /** Reads newer catalogs from VMs that have them. */
    val relay: CatalogRelay =
        CatalogRelay(self, port, exchanges, catalog, view, scope, clock) { readers.readsStore.value }

    init {
        catalog.onAdopted = feed::onCatalogChange
        targets.onRead = feed::onRead
    }

    private fun listOf(peer: Peer) = PeerTargetList(SocketAddressText(peer.host, port), exchanges, relay::onVersion)

    /** Begins to follow. */
    fun start() {
        scope.launch { superviseForever("catalog") { catalog.run() } }
        scope.launch { superviseForever("targets") { targets.run() } }
    }

    /** Answers another VM's [request] for one of the lists by [respond], at once or when something changes. */
    fun answer(request: FullHttpRequest, respond: (SmallResponse) -> Unit) {
        when (request.uri().substringBefore('?')) {
            CATALOG_PATH -> respond(relay.answer())
            TARGET_FEED_PATH -> feed.answer(request, respond)
            else -> respond(SmallResponse(HttpResponseStatus.NOT_FOUND))
        }
    }

    /** Forgets how old the lists are, since time may have passed that the clock does not count. */
    fun forgetAge(): Unit = targets.forgetAge()

    /** Answers questions that were held for as long as they may be; called several times a second. */
    fun tick(): Unit = feed.tick()

    private companion object {
        /** Said of the catalog while none is known. */
        const val NO_VERSION = -1L
    }
}
