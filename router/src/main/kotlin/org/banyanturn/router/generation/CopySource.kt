package org.banyanturn.router.generation

import com.github.michaelbull.result.Err
import com.github.michaelbull.result.Ok
import com.github.michaelbull.result.Result
import com.github.michaelbull.result.getOrElse
import org.banyanturn.core.TargetId
import org.banyanturn.core.ZoneId
import org.banyanturn.core.state.Copy
import org.banyanturn.core.state.FleetState
import org.banyanturn.core.state.Target
import org.banyanturn.platform.LoadUnit
import org.banyanturn.router.http.Refusal
import org.banyanturn.router.http.RefusalCode
import java.util.concurrent.ConcurrentHashMap
import java.util.concurrent.atomic.AtomicInteger

/** Finds engines that have a copy ready, and has one loaded where there is none. */
internal interface CopySource {
    /** Returns an engine outside [excluded] that can answer [call], or the refusal if none can in time. */
    suspend fun engineFor(call: GenerationCall, excluded: Set<TargetId>, remainingMillis: Long): Result<Target, Refusal>

    /** Notes that an attempt on [targetId] has started. */
    fun onAttemptStarted(targetId: TargetId)

    /** Notes that an attempt on [targetId] has ended. */
    fun onAttemptEnded(targetId: TargetId)
}

/** Asks the placer of this VM for a copy. */
internal fun interface CopyLoader {
    /** Returns the engine on which a copy for [call] is ready, or the refusal if none can be in time. */
    suspend fun ensureLoaded(call: GenerationCall, remainingMillis: Long): Result<TargetId, Refusal>
}

/** Returns a source that prefers ready copies with few of this router's attempts, then those in [zoneId]. */
internal fun copySource(zoneId: ZoneId, states: () -> FleetState, loader: CopyLoader): CopySource =
    LeastAttemptsCopySource(zoneId, states, loader)

private class LeastAttemptsCopySource(
    private val zoneId: ZoneId,
    private val states: () -> FleetState,
    private val loader: CopyLoader,
) : CopySource {
    private val attempts = ConcurrentHashMap<TargetId, AtomicInteger>()

    override suspend fun engineFor(
        call: GenerationCall,
        excluded: Set<TargetId>,
        remainingMillis: Long,
    ): Result<Target, Refusal> {
        val ready = states().readyEngines(call.unit).filter { it.targetId !in excluded }
        val best = ready.minWithOrNull(compareBy({ attemptsOn(it.targetId) }, { it.zoneId != zoneId }))
        if (best != null) return Ok(best)
        val loadedOn = loader.ensureLoaded(call, remainingMillis).getOrElse { return Err(it) }
        val target = states().targets[loadedOn]
        return if (target != null && target.targetId !in excluded) Ok(target) else Err(noCopy)
    }

    override fun onAttemptStarted(targetId: TargetId) {
        counter(targetId).incrementAndGet()
    }

    override fun onAttemptEnded(targetId: TargetId) {
        counter(targetId).decrementAndGet()
    }

    private fun attemptsOn(targetId: TargetId): Int = counter(targetId).get()

    private fun counter(targetId: TargetId): AtomicInteger = attempts.computeIfAbsent(targetId) { AtomicInteger() }
}

private const val NO_COPY_RETRY_MILLIS = 2_000L

private val noCopy = Refusal(
    RefusalCode.NO_CAPACITY,
    "no engine with a working copy is left",
    retryAfterMillis = NO_COPY_RETRY_MILLIS,
)

/** Returns the engines that have [unit] ready and take work. */
internal fun FleetState.readyEngines(unit: LoadUnit): List<Target> =
    copies.values
        .filter { it.isReady && it.isOf(unit) }
        .mapNotNull { targets[it.key.targetId] }
        .filterNot(Target::isDraining)

private fun Copy.isOf(unit: LoadUnit): Boolean =
    key.modelId == unit.modelId && key.adapterId == unit.adapterId && key.modelVersion == unit.version
