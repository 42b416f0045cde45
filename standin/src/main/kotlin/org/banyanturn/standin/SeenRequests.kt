package org.banyanturn.standin

import kotlinx.serialization.Serializable

private const val MAX_SEEN_REQUESTS = 1_000

/** A header that a listener received. */
@Serializable
public data class SeenHeader(val name: String, val value: String)

/** A request that a listener received. */
@Serializable
public data class SeenRequest(val method: String, val path: String, val headers: List<SeenHeader>)

/** The requests that a listener received last, oldest first. */
@Serializable
public data class SeenReply(val requests: List<SeenRequest>)

/** Keeps the last requests, so that a test can show what a target was told. */
internal class SeenRequests {
    private val requests = ArrayDeque<SeenRequest>()

    @Synchronized
    fun add(request: SeenRequest) {
        requests.addLast(request)
        if (requests.size > MAX_SEEN_REQUESTS) requests.removeFirst()
    }

    @Synchronized
    fun reply(): SeenReply = SeenReply(requests.toList())

    @Synchronized
    fun clear(): Unit = requests.clear()
}
