package org.banyanturn.measure

import org.banyanturn.core.AdapterId
import org.banyanturn.core.MemberId
import org.banyanturn.core.ModelId
import org.banyanturn.core.placement.LoadKey
import java.util.SplittableRandom
import kotlin.math.ln

internal const val MINUTE_MILLIS: Long = 60_000
internal const val HOUR_MILLIS: Long = 60 * MINUTE_MILLIS
internal const val DAY_MILLIS: Long = 24 * HOUR_MILLIS

/** Length of a run; the figures are taken after [WARM_UP_MILLIS]. */
internal const val RUN_MILLIS: Long = 72 * HOUR_MILLIS
internal const val WARM_UP_MILLIS: Long = 24 * HOUR_MILLIS

private val MODEL_GIBIBYTES = listOf(6, 10, 14, 16, 24, 32)
private const val MIN_ADAPTER_MEBIBYTES = 100
private const val MAX_ADAPTER_MEBIBYTES = 300
private const val HOT_MODEL_SHARE = 0.1
private const val REGULAR_MODEL_SHARE = 0.55
private const val HOT_GAP_MILLIS = 30_000.0
private val REGULAR_PERIOD_MINUTES = listOf(15, 30, 60, 120)
private const val REGULAR_JITTER = 0.03
private const val SESSION_GAP_MILLIS = 40_000.0
private const val MAX_SESSION_BURSTS = 15
private const val MAX_SESSION_HOURS = 4
private const val MAX_BURST_REQUESTS = 10
private const val BURST_MILLIS = 300
private const val ADAPTER_REQUEST_SHARE = 0.5
private const val MORNING_HOUR = 6
private const val MORNING_SPREAD_MILLIS = 20_000
private const val INTERACTIVE_DEADLINE_MILLIS = 10_000L
private const val OVERNIGHT_DEADLINE_MILLIS = 600_000L
private const val OVERNIGHT_SHARE = 0.1
private const val MIN_SERVICE_MILLIS = 1_000
private const val MAX_SERVICE_MILLIS = 6_000
private val MEMBER_SHARES = listOf(0.45, 0.3, 0.15, 0.06, 0.04)

/**
 * A model of the workload.
 *
 * @property isService whether it runs on the engines for bookings or dispatch orders, not on the assistants'.
 */
internal class WorkloadModel(val key: LoadKey, val memoryMebibytes: Long, val isService: Boolean) {
    val adapters = mutableListOf<WorkloadAdapter>()
}

/** An adapter of the workload. */
internal class WorkloadAdapter(val key: LoadKey, val memoryMebibytes: Long)

/** A request of the workload; one that is refused comes back with the same [firstArrivalMillis]. */
internal data class WorkloadRequest(
    val id: Long,
    val model: WorkloadModel,
    val adapter: WorkloadAdapter?,
    val memberId: MemberId,
    val firstArrivalMillis: Long,
    val patienceMillis: Long,
    val serviceMillis: Long,
)

/** The models and the requests, in order of arrival, that both policies get. */
internal class ModelsWorkload(val models: List<WorkloadModel>, val requests: List<WorkloadRequest>)

/** Returns the workload of [deployment]; the same for the same [seed]. */
internal fun modelsWorkloadOf(deployment: Deployment, seed: Long, runMillis: Long = RUN_MILLIS): ModelsWorkload =
    WorkloadGenerator(deployment, SplittableRandom(seed), runMillis).generate()

private class WorkloadGenerator(
    private val deployment: Deployment,
    private val random: SplittableRandom,
    private val runMillis: Long,
) {
    private val requests = mutableListOf<WorkloadRequest>()

    fun generate(): ModelsWorkload {
        val models = List(deployment.models, ::newModel)
        repeat(deployment.adapters) { addAdapter(models[random.nextInt(models.size)], it) }
        models.forEachIndexed { index, model ->
            val rank = (index + 0.5) / models.size
            when {
                rank < HOT_MODEL_SHARE -> addPoissonBursts(model)
                rank < HOT_MODEL_SHARE + REGULAR_MODEL_SHARE -> addRegularBursts(model)
                else -> addSessions(model)
            }
            addMorningBursts(model)
        }
        return ModelsWorkload(models, requests.sortedWith(compareBy({ it.firstArrivalMillis }, { it.id })))
    }

    private fun newModel(index: Int): WorkloadModel {
        val serviceShare =
            deployment.serviceEngines.toDouble() / (deployment.assistantEngines + deployment.serviceEngines)
        return WorkloadModel(
            key = LoadKey(ModelId("model-$index"), null, "1"),
            memoryMebibytes = MODEL_GIBIBYTES[random.nextInt(MODEL_GIBIBYTES.size)] * MEBIBYTES_PER_GIBIBYTE,
            isService = (index * serviceShare) % 1 + serviceShare >= 1,
        )
    }

    private fun addAdapter(model: WorkloadModel, index: Int) {
        val key = model.key.copy(adapterId = AdapterId("adapter-$index"))
        model.adapters +=
            WorkloadAdapter(key, random.nextLong(MIN_ADAPTER_MEBIBYTES.toLong(), MAX_ADAPTER_MEBIBYTES.toLong()))
    }

    private fun exponentialMillis(mean: Double): Long = (-mean * ln(1 - random.nextDouble())).toLong() + 1

    private fun addPoissonBursts(model: WorkloadModel) {
        var at = exponentialMillis(HOT_GAP_MILLIS)
        while (at < runMillis) {
            addBurst(model, at)
            at += exponentialMillis(HOT_GAP_MILLIS)
        }
    }

    private fun addRegularBursts(model: WorkloadModel) {
        val periodMillis = REGULAR_PERIOD_MINUTES[random.nextInt(REGULAR_PERIOD_MINUTES.size)] * MINUTE_MILLIS
        var at = random.nextLong(periodMillis)
        while (at < runMillis) {
            addBurst(model, at)
            at += (periodMillis * (1 + REGULAR_JITTER * (2 * random.nextDouble() - 1))).toLong()
        }
    }

    private fun addSessions(model: WorkloadModel) {
        val meanMillis = random.nextLong(1, MAX_SESSION_HOURS + 1L) * HOUR_MILLIS.toDouble()
        var at = exponentialMillis(meanMillis)
        while (at < runMillis) {
            repeat(random.nextInt(1, MAX_SESSION_BURSTS)) {
                addBurst(model, at)
                at += exponentialMillis(SESSION_GAP_MILLIS)
            }
            at += exponentialMillis(meanMillis)
        }
    }

    private fun addMorningBursts(model: WorkloadModel) {
        var at = MORNING_HOUR * HOUR_MILLIS
        while (at < runMillis) {
            addBurst(model, at + random.nextInt(MORNING_SPREAD_MILLIS))
            at += DAY_MILLIS
        }
    }

    private fun addBurst(model: WorkloadModel, atMillis: Long) {
        val memberId = drawMember()
        val isOvernight = random.nextDouble() < OVERNIGHT_SHARE
        repeat(random.nextInt(1, MAX_BURST_REQUESTS + 1)) {
            val hasAdapter = model.adapters.isNotEmpty() && random.nextDouble() < ADAPTER_REQUEST_SHARE
            requests += WorkloadRequest(
                id = requests.size.toLong(),
                model = model,
                adapter = if (hasAdapter) model.adapters[random.nextInt(model.adapters.size)] else null,
                memberId = memberId,
                firstArrivalMillis = atMillis + random.nextInt(BURST_MILLIS),
                patienceMillis = if (isOvernight) OVERNIGHT_DEADLINE_MILLIS else INTERACTIVE_DEADLINE_MILLIS,
                serviceMillis = random.nextInt(MIN_SERVICE_MILLIS, MAX_SERVICE_MILLIS).toLong(),
            )
        }
    }

    private fun drawMember(): MemberId {
        var draw = random.nextDouble()
        val index = MEMBER_SHARES.indexOfFirst { share ->
            draw -= share
            draw < 0
        }
        return MemberId("member-${if (index < 0) 0 else index}")
    }
}
