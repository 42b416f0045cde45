package org.banyanturn.acceptance

import kotlinx.serialization.json.Json
import kotlinx.serialization.json.JsonObject
import kotlinx.serialization.json.jsonObject
import kotlinx.serialization.json.jsonPrimitive
import java.io.IOException
import java.net.URI
import java.net.http.HttpClient
import java.net.http.HttpRequest
import java.net.http.HttpResponse
import java.time.Duration

private const val REQUEST_TIMEOUT_SECONDS = 60L

/** An answer to a caller. */
public class CallerAnswer(public val status: Int, public val body: String, private val response: HttpResponse<String>) {
    /** Returns the value of the header [name], or `null` if the answer has none. */
    public fun headerOrNull(name: String): String? = response.headers().firstValue(name).orElse(null)

    /** Returns the `outcome` in the error body, or `null` if the answer has none. */
    public fun outcomeOrNull(): String? = errorOrNull()?.get("outcome")?.jsonPrimitive?.content

    /** Returns the `code` in the error body, or `null` if the answer has none. */
    public fun codeOrNull(): String? = errorOrNull()?.get("code")?.jsonPrimitive?.content

    private fun errorOrNull(): JsonObject? =
        runCatching { Json.parseToJsonElement(body).jsonObject["error"]?.jsonObject }.getOrNull()
}

/** Returns a chat request body for [model]. */
public fun chatBody(model: String, text: String, isStreamed: Boolean = false): String =
    """{"model":"$model","stream":$isStreamed,"messages":[{"role":"user","content":"$text"}]}"""

/** A caller of a router at [baseUrl] with [key], or without one. */
public class CallerClient(private val baseUrl: String, private val key: String?) {
    /** Returns the answer to a chat request for [model]. */
    public fun chat(
        model: String,
        text: String,
        isStreamed: Boolean = false,
        headers: Map<String, String> = emptyMap(),
    ): CallerAnswer = send("POST", "/v1/chat/completions", chatBody(model, text, isStreamed), headers)

    /** Returns the answer to a request. @throws IOException if the connection breaks. */
    public fun send(
        method: String,
        path: String,
        body: String? = null,
        headers: Map<String, String> = emptyMap(),
    ): CallerAnswer {
        val publisher = body?.let(HttpRequest.BodyPublishers::ofString) ?: HttpRequest.BodyPublishers.noBody()
        val request = HttpRequest.newBuilder(URI.create(baseUrl + path))
            .method(method, publisher)
            .timeout(Duration.ofSeconds(REQUEST_TIMEOUT_SECONDS))
        if (key != null) request.header("Authorization", "Bearer $key")
        headers.forEach(request::header)
        val response = client.send(request.build(), HttpResponse.BodyHandlers.ofString())
        return CallerAnswer(response.statusCode(), response.body(), response)
    }

    /** Returns the status of a GET of [path], or `null` if there is no answer. */
    public fun statusOrNull(path: String): Int? =
        try {
            send("GET", path).status
        } catch (_: IOException) {
            null
        }

    private companion object {
        private val client: HttpClient = HttpClient.newBuilder().version(HttpClient.Version.HTTP_1_1).build()
    }
}
