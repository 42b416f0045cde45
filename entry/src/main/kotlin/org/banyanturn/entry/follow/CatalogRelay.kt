package org.banyanturn.entry.follow

import com.github.michaelbull.result.getOrElse
import io.netty.handler.codec.http.HttpResponseStatus
import kotlinx.coroutines.CoroutineScope
import kotlinx.coroutines.launch
import org.banyanturn.daemon.ProcessClock
import org.banyanturn.entry.http.SmallResponse
import org.banyanturn.entry.requests.FleetView
import org.banyanturn.platform.hosted.HttpExchangeCall
import org.banyanturn.platform.hosted.HttpExchanges
import org.banyanturn.platform.hosted.MAX_LIST_REPLY_BYTES
import org.banyanturn.platform.hosted.SocketAddressText

/** The path under which VMs serve the catalog to each other. */
internal const val CATALOG_PATH = "/catalog"

private const val READ_TIMEOUT_MILLIS = 500L

/** How long a VM that reads the store waits for a newer catalog from the store before it fetches it from a peer. */
private const val STORE_GRACE_MILLIS = 400L

private const val STATUS_OK = 200

/**
 * Fetches the newest catalog from other VMs when the platform's store rejects this VM's calls or is unreachable.
 *
 * VMs announce their catalog version to each other. A VM that receives a newer version, and does not get that catalog
 * from the store shortly after, fetches it from the announcing VM.
 */
internal class CatalogRelay(
    private val self: Peer,
    private val port: Int,
    private val exchanges: HttpExchanges,
    private val follower: CatalogFollower,
    private val view: FleetView,
    private val scope: CoroutineScope,
    private val clock: ProcessClock,
    private val readsStore: () -> Boolean,
) {
    private var newestPeerVersion = Long.MIN_VALUE
    private var newestPeerVersionAtMillis = 0L
    private var isReading = false

    /** Handles the announcement that the VM at [host] has the catalog [version]. */
    fun onPeerVersion(version: Long, host: String) {
        if (host == self.host || version <= (view.catalog?.version ?: Long.MIN_VALUE)) return
        val nowMillis = clock.nowMillis()
        if (version > newestPeerVersion) {
            newestPeerVersion = version
            newestPeerVersionAtMillis = nowMillis
        }
        val graceMillis = if (readsStore()) STORE_GRACE_MILLIS else 0
        val isOverdue = view.catalog == null || nowMillis - newestPeerVersionAtMillis >= graceMillis
        if (isOverdue && !isReading) scope.launch { read(host) }
    }

    private suspend fun read(host: String) {
        isReading = true
        try {
            val call = HttpExchangeCall(
                "GET",
                CATALOG_PATH,
                timeoutMillis = READ_TIMEOUT_MILLIS,
                maxReplyBytes = MAX_LIST_REPLY_BYTES,
            )
            val response = exchanges.call(SocketAddressText(host, port), call).getOrElse { return }
            if (response.statusCode == STATUS_OK) follower.applyDocument(response.body.decodeToString(), source = host)
        } finally {
            isReading = false
        }
    }

    /** Returns the response to another VM's request for the catalog. */
    fun response(): SmallResponse {
        val document = follower.document ?: return SmallResponse(HttpResponseStatus.NOT_FOUND)
        return SmallResponse(HttpResponseStatus.OK, document.encodeToByteArray(), "application/json")
    }
}
