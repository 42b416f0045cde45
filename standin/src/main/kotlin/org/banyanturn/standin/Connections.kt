package org.banyanturn.standin

import io.ktor.http.ContentType
import io.ktor.server.application.ApplicationCall
import io.ktor.server.response.respondBytesWriter
import io.ktor.utils.io.close

private const val UNREACHED_LENGTH_BYTES = 1L shl 30

/** Thrown to break a connection off in the middle of an answer. */
internal class ConnectionCut : java.io.IOException("cut by the stand-in")

/** Breaks the connection off without an answer. */
internal suspend fun ApplicationCall.cutConnection() {
    respondBytesWriter(ContentType.Application.Json, contentLength = UNREACHED_LENGTH_BYTES) {
        close(ConnectionCut())
    }
}
