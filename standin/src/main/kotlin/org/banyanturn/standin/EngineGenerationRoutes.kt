package org.banyanturn.standin

import io.ktor.http.ContentType
import io.ktor.http.HttpStatusCode
import io.ktor.server.request.header
import io.ktor.server.response.respondBytesWriter
import io.ktor.server.routing.RoutingContext
import io.ktor.utils.io.ByteWriteChannel
import io.ktor.utils.io.writeStringUtf8
import kotlinx.coroutines.CancellationException
import kotlinx.coroutines.Job
import kotlinx.coroutines.awaitCancellation
import kotlinx.coroutines.coroutineScope
import kotlinx.coroutines.delay
import kotlinx.coroutines.launch
import kotlinx.serialization.json.JsonObject
import kotlinx.serialization.json.contentOrNull
import kotlinx.serialization.json.intOrNull
import kotlinx.serialization.json.jsonPrimitive
import org.banyanturn.platform.http.ATTEMPT_ID_HEADER
import org.banyanturn.platform.http.ChunkChoice
import org.banyanturn.platform.http.ChunkDelta
import org.banyanturn.platform.http.ChunkUsage
import org.banyanturn.platform.http.CompletionChunk
import org.banyanturn.platform.http.PRIORITY_HEADER
import org.banyanturn.platform.http.RESUME_AT_TOKEN_HEADER
import org.banyanturn.platform.http.wireJson
import java.util.concurrent.ConcurrentHashMap

private const val TOKEN_VARIETY = 1_000
private const val HASH_FACTOR = 31

/** One request to generate. */
internal class GenerationCall(
    val path: String,
    val attemptId: String,
    val model: String,
    val tokenCount: Int,
    val resumeAtToken: Int,
    val priority: Int,
    val promptHash: Int,
) {
    val isChat: Boolean get() = path.endsWith("/chat/completions")
}

/** Streams answers whose tokens depend on the body and the token's position alone. */
internal class EngineGenerationRoutes(
    private val settings: EngineSettings,
    private val listener: ListenerState,
    private val memory: EngineMemory,
    private val slots: BatchSlots,
) {
    private val running = ConcurrentHashMap<String, Job>()

    /** Cancels [attemptId] and returns whether it ran. */
    fun cancel(attemptId: String): Boolean = running[attemptId]?.let {
        it.cancel()
        true
    } ?: false

    /** Cuts all streams, as a crash does. */
    fun cutAll(): Unit = running.values.forEach { it.cancel(CancellationException("crash", ConnectionCut())) }

    /** Serves one request; [onChange] is called when a stream starts or ends. */
    suspend fun RoutingContext.serve(path: String, body: String, onChange: () -> Unit) {
        if (!passFaults(listener)) return
        val request = callOrNull(path, decode(body))
        when {
            request == null -> call.send(refusal(HttpStatusCode.BadRequest, "$ATTEMPT_ID_HEADER or model is missing"))

            memory.servedOrNull(request.model) == null ->
                call.send(refusal(HttpStatusCode.NotFound, "model ${request.model} is not loaded"))

            else -> call.respondBytesWriter(ContentType.Text.EventStream) { stream(request, this, onChange) }
        }
    }

    private fun RoutingContext.callOrNull(path: String, body: JsonObject): GenerationCall? {
        val attemptId = call.request.header(ATTEMPT_ID_HEADER) ?: return null
        val model = body["model"]?.jsonPrimitive?.contentOrNull ?: return null
        return GenerationCall(
            path = path,
            attemptId = attemptId,
            model = model,
            tokenCount = body["max_tokens"]?.jsonPrimitive?.intOrNull ?: settings.tokensPerAnswer,
            resumeAtToken = call.request.header(RESUME_AT_TOKEN_HEADER)?.toIntOrNull() ?: 0,
            priority = call.request.header(PRIORITY_HEADER)?.toIntOrNull() ?: 0,
            promptHash = (body["messages"] ?: body["prompt"]).hashCode(),
        )
    }

    private suspend fun stream(request: GenerationCall, channel: ByteWriteChannel, onChange: () -> Unit) {
        channel.writeEvent(": waiting")
        memory.countRun(request.attemptId)
        coroutineScope {
            val work = launch { slots.withSlot(request.priority) { writeTokens(request, channel, onChange) } }
            running[request.attemptId] = work
            work.join()
            running.remove(request.attemptId, work)
            onChange()
            if (work.isCancelled) throw ConnectionCut()
        }
        memory.count { it.copy(answers = it.answers + 1) }
    }

    private suspend fun writeTokens(request: GenerationCall, channel: ByteWriteChannel, onChange: () -> Unit) {
        onChange()
        pace(settings.firstTokenMillis)
        for (index in request.resumeAtToken until request.tokenCount) {
            if (index > request.resumeAtToken) pace(settings.millisPerToken)
            showStreamFaults(index - request.resumeAtToken)
            channel.writeChunk(request.tokenChunk(index))
        }
        channel.writeChunk(request.lastChunk())
        channel.writeEvent("data: [DONE]")
    }

    private suspend fun showStreamFaults(sentTokens: Int) {
        val faults = listener.faults
        if (faults.silenceAfterTokens != null && sentTokens >= faults.silenceAfterTokens) awaitCancellation()
        if (faults.cutAfterTokens != null && sentTokens >= faults.cutAfterTokens) throw CancellationException("cut")
    }

    private suspend fun pace(millis: Long): Unit = delay((millis * listener.faults.slowFactor).toLong())

    private fun GenerationCall.tokenChunk(index: Int): CompletionChunk {
        val text = "w${Math.floorMod(promptHash * HASH_FACTOR + index, TOKEN_VARIETY)} "
        val choice = if (isChat) ChunkChoice(delta = ChunkDelta(text)) else ChunkChoice(text = text)
        return chunk(choice, tokenIndex = index)
    }

    private fun GenerationCall.lastChunk(): CompletionChunk {
        val choice = if (isChat) ChunkChoice(delta = ChunkDelta()) else ChunkChoice(text = "")
        return chunk(choice.copy(finishReason = "stop"), usage = ChunkUsage(tokenCount))
    }

    private fun GenerationCall.chunk(
        choice: ChunkChoice,
        tokenIndex: Int? = null,
        usage: ChunkUsage? = null,
    ): CompletionChunk =
        CompletionChunk(
            id = if (listener.faults.crossAnswers) "crossed-$attemptId" else attemptId,
            objectType = if (isChat) "chat.completion.chunk" else "text_completion",
            model = model,
            tokenIndex = tokenIndex,
            choices = listOf(choice),
            usage = usage,
        )
}

private suspend fun ByteWriteChannel.writeChunk(chunk: CompletionChunk): Unit =
    writeEvent("data: ${wireJson.encodeToString(chunk)}")

private suspend fun ByteWriteChannel.writeEvent(line: String) {
    writeStringUtf8("$line\n\n")
    flush()
}
