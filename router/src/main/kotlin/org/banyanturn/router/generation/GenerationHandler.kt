package org.banyanturn.router.generation

import com.github.michaelbull.result.Err
import com.github.michaelbull.result.Ok
import com.github.michaelbull.result.Result
import com.github.michaelbull.result.getOrElse
import io.ktor.http.ContentType
import io.ktor.server.application.ApplicationCall
import io.ktor.server.response.respondBytesWriter
import io.ktor.server.response.respondText
import io.ktor.utils.io.ByteWriteChannel
import io.ktor.utils.io.writeStringUtf8
import kotlinx.serialization.json.JsonObject
import kotlinx.serialization.json.add
import kotlinx.serialization.json.buildJsonArray
import kotlinx.serialization.json.buildJsonObject
import kotlinx.serialization.json.put
import org.banyanturn.core.delivery.DeliveryRequest
import org.banyanturn.core.delivery.RefusalReason
import org.banyanturn.core.delivery.RequestId
import org.banyanturn.daemon.traces.traceParent
import org.banyanturn.router.RequestContext
import org.banyanturn.router.RequestSettings
import org.banyanturn.router.access.AccessControl
import org.banyanturn.router.access.LiveKey
import org.banyanturn.router.delivery.CallerOutput
import org.banyanturn.router.delivery.Deliveries
import org.banyanturn.router.delivery.Delivery
import org.banyanturn.router.delivery.toHttp
import org.banyanturn.router.http.Refusal
import org.banyanturn.router.http.bodyBytes
import org.banyanturn.router.http.timeoutMillis
import org.banyanturn.router.http.toJson
import org.banyanturn.router.rates.RateGate

private const val GENERATION_COST = 1.0

/** Answers the callers' generation requests. */
internal class GenerationHandler(
    private val access: AccessControl,
    private val rates: RateGate,
    private val deliveries: Deliveries,
    private val environment: GenerationEnvironment,
    private val settings: RequestSettings,
) {
    /** Answers [call] and returns `null`, or returns the refusal to answer it with. */
    suspend fun handle(call: ApplicationCall, path: String, context: RequestContext): Refusal? {
        val (key, generation) = accept(call, path, context).getOrElse { return it }
        val work = GenerationWork(generation, environment)
        return deliveries.run(generation.toDeliveryRequest(), work, key.keyId) { delivery ->
            answer(call, generation, work, delivery)
        }
    }

    /** Answers [call] with the models and adapters that may be named in requests. */
    suspend fun handleModels(call: ApplicationCall): Refusal? {
        access.check(call).getOrElse { return it }
        val state = environment.states()
        val names = state.models.keys.map { it.value } + state.adapters.keys.map { it.value }
        val body = buildJsonObject {
            put("object", "list")
            put("data", buildJsonArray { names.sorted().forEach { add(modelEntry(it)) } })
        }
        call.respondText(body.toString(), ContentType.Application.Json)
        return null
    }

    private fun modelEntry(name: String): JsonObject = buildJsonObject {
        put("id", name)
        put("object", "model")
    }

    private suspend fun accept(
        call: ApplicationCall,
        path: String,
        context: RequestContext,
    ): Result<AcceptedGeneration, Refusal> {
        val key = access.check(call).getOrElse { return Err(it) }
        val timeoutMillis = call.timeoutMillis(settings).getOrElse { return Err(it) }
        val bytes = call.bodyBytes(settings).getOrElse { return Err(it) }
        val body = parseGenerationBody(path, bytes).getOrElse { return Err(it) }
        val unit = environment.states().resolveModel(body.model).getOrElse { return Err(it) }
        rates.spend(key.memberId, GENERATION_COST).getOrElse { return Err(it) }
        val generation = GenerationCall(
            requestId = context.requestId,
            memberId = key.memberId,
            path = path,
            requestedModel = body.model,
            unit = unit,
            bodyJson = body.json,
            isStreamed = body.isStreamed,
            deadlineMillis = context.arrivedMillis + timeoutMillis,
            traceParent = context.span.traceParent(),
        )
        return Ok(AcceptedGeneration(key, generation))
    }

    private suspend fun answer(
        call: ApplicationCall,
        generation: GenerationCall,
        work: GenerationWork,
        delivery: Delivery,
    ): Refusal? {
        val first = delivery.outputs.receive()
        return when {
            first is CallerOutput.Refused -> first.toRefusal(work)

            generation.isStreamed -> {
                call.respondBytesWriter(ContentType.Text.EventStream) { writeStream(generation, work, first, delivery) }
                null
            }

            else -> answerWhole(call, generation, work, first, delivery)
        }
    }

    private suspend fun ByteWriteChannel.writeStream(
        generation: GenerationCall,
        work: GenerationWork,
        first: CallerOutput,
        delivery: Delivery,
    ) {
        var output = first
        while (true) {
            writeStringUtf8(output.toServerSentEvents(generation, work))
            flush()
            if (output !is CallerOutput.Part) return
            output = delivery.outputs.receive()
        }
    }

    private suspend fun answerWhole(
        call: ApplicationCall,
        generation: GenerationCall,
        work: GenerationWork,
        first: CallerOutput,
        delivery: Delivery,
    ): Refusal? {
        val text = StringBuilder()
        var output = first
        while (output is CallerOutput.Part) {
            text.append(output.text)
            output = delivery.outputs.receive()
        }
        if (output is CallerOutput.Refused) return output.toRefusal(work)
        val finished = output as CallerOutput.Finished
        val body = wholeAnswer(generation, text.toString(), finished.tokenCount, finished.finishReason)
        call.respondText(body, ContentType.Application.Json)
        return null
    }
}

private data class AcceptedGeneration(val key: LiveKey, val call: GenerationCall)

private fun GenerationCall.toDeliveryRequest(): DeliveryRequest =
    DeliveryRequest(
        requestId = RequestId(requestId),
        memberId = memberId,
        isIdempotent = true,
        idempotencyKey = null,
        deadlineMillis = deadlineMillis,
    )

private fun CallerOutput.Refused.toRefusal(work: GenerationWork): Refusal {
    val detail = work.refusal?.message.takeIf { refusal.reason == RefusalReason.NO_TARGET }
    return refusal.toHttp(detail)
}

private fun CallerOutput.toServerSentEvents(call: GenerationCall, work: GenerationWork): String =
    when (this) {
        is CallerOutput.Part -> tokenEvent(call, text)
        is CallerOutput.Finished -> finishEvent(call, finishReason) + STREAM_END
        is CallerOutput.Refused -> errorEvent(toRefusal(work).toJson(call.requestId))
        is CallerOutput.Answered -> error("a generation has no whole answer")
    }
