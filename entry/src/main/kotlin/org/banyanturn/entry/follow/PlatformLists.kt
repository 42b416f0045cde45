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
 * Keeps the catalog and the list of targets in [view] up to date, and serves them to other VMs.
 *
 * @param port the port on which VMs serve these lists to each other; the same on all VMs.
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
    private val readerSelector = ZoneReaderSelector(self, ownership::peers, ::targetListOf, clock, log)
    private val evacuations = ZoneEvacuations(view, clock, log)
    private val catalogFollower =
        CatalogFollower(
            store.declarations,
            view,
            StoreOutageTracker("catalog", clock, log),
            log,
            readerSelector.readsStore,
            evacuations,
            random,
        )
    private val storedTargets = StoredTargetList(store.targets, StoreOutageTracker("targets", clock, log), log)
    private val targetFollower = TargetFollower(storedTargets, readerSelector, view, clock, log, random)
    private val feed =
        TargetFeed(
            targetFollower,
            catalogFollower::isUpToDate,
            { view.catalog?.version ?: NO_CATALOG_VERSION },
            clock,
            evacuations::messageOrNull,
        )

    /** Fetches newer catalogs from VMs that have them. */
    val relay: CatalogRelay =
        CatalogRelay(self, port, exchanges, catalogFollower, view, scope, clock) { readerSelector.readsStore.value }

    init {
        catalogFollower.onAdopted = feed::onCatalogChange
        evacuations.onChange = feed::onCatalogChange
        targetFollower.onRead = feed::onRead
    }

    private fun targetListOf(peer: Peer) =
        PeerTargetList(SocketAddressText(peer.host, port), exchanges, evacuations::onMessage, relay::onPeerVersion)

    /** Starts reading the lists, in the background. */
    fun start() {
        scope.launch { superviseForever("catalog") { catalogFollower.run() } }
        scope.launch { superviseForever("targets") { targetFollower.run() } }
    }

    /** Handles another VM's [request] for one of the lists; [respond] is called at once or when the list changes. */
    fun handle(request: FullHttpRequest, respond: (SmallResponse) -> Unit) {
        when (request.uri().substringBefore('?')) {
            CATALOG_PATH -> respond(relay.response())
            TARGET_FEED_PATH -> feed.handle(request, respond)
            else -> respond(SmallResponse(HttpResponseStatus.NOT_FOUND))
        }
    }

    /** Marks the age of the lists as unknown, after a suspension that the clock did not count. */
    fun invalidateAge() {
        targetFollower.invalidateAge()
        evacuations.invalidateAge()
    }

    /** Responds to polls whose wait time has passed; called several times a second. */
    fun tick(): Unit = feed.tick()

    private companion object {
        /** The catalog version that is sent while no catalog is known. */
        const val NO_CATALOG_VERSION = -1L
    }
}
