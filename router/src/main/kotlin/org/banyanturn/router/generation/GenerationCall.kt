package org.banyanturn.router.generation

import com.github.michaelbull.result.Err
import com.github.michaelbull.result.Ok
import com.github.michaelbull.result.Result
import kotlinx.serialization.SerializationException
import kotlinx.serialization.json.Json
import kotlinx.serialization.json.JsonObject
import kotlinx.serialization.json.JsonPrimitive
import kotlinx.serialization.json.booleanOrNull
import kotlinx.serialization.json.contentOrNull
import kotlinx.serialization.json.jsonArray
import org.banyanturn.core.AdapterId
import org.banyanturn.core.MemberId
import org.banyanturn.core.ModelId
import org.banyanturn.core.isIdentifier
import org.banyanturn.core.isNestedTooDeeply
import org.banyanturn.core.state.FleetState
import org.banyanturn.platform.LoadUnit
import org.banyanturn.router.http.Refusal
import org.banyanturn.router.http.RefusalCode

/** Path of the chat form of generation. */
internal const val CHAT_PATH: String = "/v1/chat/completions"

/** Path of the plain form of generation. */
internal const val COMPLETION_PATH: String = "/v1/completions"

/**
 * A generation request that has passed its checks.
 *
 * @property requestedModel the `model` field as the caller wrote it.
 * @property unit what has to be loaded to answer it.
 * @property deadlineMillis when the caller stops waiting, on the process clock.
 */
internal data class GenerationCall(
    val requestId: String,
    val memberId: MemberId,
    val path: String,
    val requestedModel: String,
    val unit: LoadUnit,
    val bodyJson: String,
    val isStreamed: Boolean,
    val deadlineMillis: Long,
    val traceParent: String,
)

/**
 * The fields of a generation body that the router reads.
 *
 * @property model name of a model or adapter, with `@version` or without.
 */
internal data class GenerationBody(val model: String, val isStreamed: Boolean, val json: String)

/** Returns the fields of the body [bytes] for [path], or the refusal that names the first wrong one. */
internal fun parseGenerationBody(path: String, bytes: ByteArray): Result<GenerationBody, Refusal> {
    val text = bytes.decodeToString()
    val body = parseObjectOrNull(text) ?: return invalid("body", "expected a JSON object")
    val model = (body["model"] as? JsonPrimitive)?.takeIf { it.isString }?.contentOrNull
    if (model.isNullOrEmpty()) return invalid("model", "expected the name of a model")
    val isStreamed = isStreamedOrNull(body) ?: return invalid("stream", "expected true or false")
    val input = if (path == CHAT_PATH) "messages" else "prompt"
    if (!hasInput(body, input)) return invalid(input, "expected ${inputForm(input)}")
    return Ok(GenerationBody(model, isStreamed, text))
}

private fun parseObjectOrNull(text: String): JsonObject? =
    try {
        if (isNestedTooDeeply(text)) null else Json.parseToJsonElement(text) as? JsonObject
    } catch (_: SerializationException) {
        null
    }

private fun isStreamedOrNull(body: JsonObject): Boolean? {
    val stream = body["stream"] ?: return false
    return (stream as? JsonPrimitive)?.booleanOrNull
}

private fun hasInput(body: JsonObject, field: String): Boolean {
    val value = body[field] ?: return false
    if (field == "prompt") return value is JsonPrimitive && value.isString
    return value !is JsonPrimitive && value !is JsonObject && value.jsonArray.all { it is JsonObject }
}

private fun inputForm(field: String): String = if (field == "prompt") "a string" else "an array of messages"

private fun invalid(field: String, expected: String): Result<Nothing, Refusal> =
    Err(Refusal(RefusalCode.INVALID_REQUEST, "$field: $expected", field = field))

/** Returns what must be loaded for a request that names [model], or the refusal of an unknown one. */
internal fun FleetState.resolveModel(model: String): Result<LoadUnit, Refusal> {
    val name = model.substringBefore('@')
    val version = model.substringAfter('@', missingDelimiterValue = "")
    val unit = if (isIdentifier(name)) declaredUnitOrNull(name) else null
    if (unit == null) {
        return Err(Refusal(RefusalCode.UNKNOWN_MODEL, "no model or adapter '$name' is declared", field = "model"))
    }
    return Ok(if (version.isEmpty()) unit else unit.copy(version = version))
}

private fun FleetState.declaredUnitOrNull(name: String): LoadUnit? {
    models[ModelId(name)]?.let { return LoadUnit(it.modelId, null, it.declaredVersion) }
    return adapters[AdapterId(name)]?.let { LoadUnit(it.modelId, it.adapterId, it.declaredVersion) }
}
