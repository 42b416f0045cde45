package org.banyanturn.router.generation

import kotlinx.serialization.json.JsonObject
import kotlinx.serialization.json.JsonPrimitive
import kotlinx.serialization.json.add
import kotlinx.serialization.json.buildJsonArray
import kotlinx.serialization.json.buildJsonObject
import kotlinx.serialization.json.put
import kotlinx.serialization.json.putJsonObject

/** The line that ends a streamed answer that is whole. */
internal const val STREAM_END: String = "data: [DONE]\n\n"

/** Returns the server-sent event for one token of the answer to [call]. */
internal fun tokenEvent(call: GenerationCall, text: String): String = "data: ${chunk(call, text, null)}\n\n"

/** Returns the server-sent event that says why the answer to [call] has ended. */
internal fun finishEvent(call: GenerationCall, finishReason: String): String =
    "data: ${chunk(call, null, finishReason)}\n\n"

/** Returns the server-sent event that ends a broken answer with an error body. */
internal fun errorEvent(errorJson: String): String = "event: error\ndata: $errorJson\n\n"

/** Returns the JSON body of a whole answer to [call]. */
internal fun wholeAnswer(call: GenerationCall, text: String, tokenCount: Int, finishReason: String): String =
    buildJsonObject {
        put("id", call.requestId)
        put("object", if (call.path == CHAT_PATH) "chat.completion" else "text_completion")
        put("model", call.requestedModel)
        put("choices", buildJsonArray { add(wholeChoice(call, text, finishReason)) })
        putJsonObject("usage") { put("completion_tokens", tokenCount) }
    }.toString()

private fun wholeChoice(call: GenerationCall, text: String, finishReason: String): JsonObject = buildJsonObject {
    put("index", 0)
    if (call.path == CHAT_PATH) {
        putJsonObject("message") {
            put("role", "assistant")
            put("content", text)
        }
    } else {
        put("text", text)
    }
    put("finish_reason", finishReason)
}

private fun chunk(call: GenerationCall, text: String?, finishReason: String?): JsonObject = buildJsonObject {
    put("id", call.requestId)
    put("object", if (call.path == CHAT_PATH) "chat.completion.chunk" else "text_completion")
    put("model", call.requestedModel)
    put("choices", buildJsonArray { add(chunkChoice(call, text, finishReason)) })
}

private fun chunkChoice(call: GenerationCall, text: String?, finishReason: String?): JsonObject = buildJsonObject {
    put("index", 0)
    if (call.path == CHAT_PATH) {
        putJsonObject("delta") { if (text != null) put("content", text) }
    } else {
        put("text", text.orEmpty())
    }
    put("finish_reason", JsonPrimitive(finishReason))
}
