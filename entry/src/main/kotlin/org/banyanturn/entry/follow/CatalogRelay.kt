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
import org.banyanturn.platform.hosted.SocketAddressText

/** Path at which VMs ask each other for the catalog. */
internal const val CATALOG_PATH = "/catalog"

private const val TIMEOUT_MILLIS = 500L

/** How long a VM that reads the store is given to hear of a newer catalog from the store itself. */
private const val PATIENCE_MILLIS = 400L

private const val STATUS_OK = 200

/**
 * Brings the newest catalog to VMs that the platform's store turns away or can't be reached from.
 *
 * VMs tell each other the version that they follow; one that hears of a newer one and doesn't get it from the store
 * shortly reads it from the VM that has it.
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
    private var heardVersion = Long.MIN_VALUE
    private var heardAtMillis = 0L
    private var isReading = false

    /** Notes that the VM at [host] follows the catalog [version]. */
    fun onVersion(version: Long, host: String) {
        if (host == self.host || version <= (view.catalog?.version ?: Long.MIN_VALUE)) return
        val nowMillis = clock.nowMillis()
        if (version > heardVersion) {
            heardVersion = version
            heardAtMillis = nowMillis
        }
        val patienceMillis = if (readsStore()) PATIENCE_MILLIS else 0
        val isOverdue = view.catalog == null || nowMillis - heardAtMillis >= patienceMillis
        if (isOverdue && !isReading) scope.launch { read(host) }
    }

    private suspend fun read(host: String) {
        isReading = true
        try {
            val call = HttpExchangeCall("GET", CATALOG_PATH, timeoutMillis = TIMEOUT_MILLIS)
            val reply = exchanges.call(SocketAddressText(host, port), call).getOrElse { return }
            if (reply.statusCode == STATUS_OK) follower.takeDocument(reply.body.decodeToString(), source = host)
        } finally {
            isReading = false
        }
    }

    /** Returns the answer to another VM's question for the catalog. */
    fun answer(): SmallResponse {
        val document = follower.document ?: return SmallResponse(HttpResponseStatus.NOT_FOUND)
        return SmallResponse(HttpResponseStatus.OK, document.encodeToByteArray(), "application/json")
    }
}
