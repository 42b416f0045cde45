package org.banyanturn.core.delivery

import kotlinx.collections.immutable.PersistentMap
import kotlinx.collections.immutable.persistentMapOf
import org.banyanturn.core.TargetId

/** Identifies a part of a prompt, which the prompts of other requests may share. */
@JvmInline
public value class PromptPartId(public val value: String)

/** One incarnation of a target; it crashes once. */
public data class TargetLife(val targetId: TargetId, val bornEpochMillis: Long?)

/**
 * Settings for attributing target crashes to parts of prompts.
 *
 * @property crashesToBlock number of crashes after which a part that is in no known answer is blocked.
 * @property crashesToBlockKnown number of crashes since its last known answer after which any part is blocked; if as
 * many targets have crashed, [crashesToBlock] are enough.
 * @property separationMillis crashes that are less than this apart count as one: a network fault breaks the connections
 * to many targets at once, while a request crashes one target after the other.
 * @property blockMillis how long a part stays blocked after its latest crash, if a probe has failed.
 * @property blockGrowth factor by which each further failed probe extends [blockMillis].
 * @property firstProbeMillis time after its latest crash at which a blocked part is first probed.
 * @property probeIntervalMillis time between probes of a part whose crashes other parts explain, and between probes
 * that neither failed nor succeeded.
 * @property maxParts maximum number of suspect parts, and of parts in known answers, that are kept.
 */
public data class PromptPartSettings(
    val crashesToBlock: Int = 3,
    val crashesToBlockKnown: Int = 5,
    val separationMillis: Long = 300,
    val blockMillis: Long = 900_000,
    val blockGrowth: Int = 8,
    val firstProbeMillis: Long = 5_000,
    val probeIntervalMillis: Long = 2_000,
    val maxParts: Int = 10_000,
)

/** Whether a request may be sent, judged by the parts of its prompt. */
public sealed interface PromptPartAdmission {
    /** No part is blocked. */
    public data object Allowed : PromptPartAdmission

    /** The request may be sent to find out whether the [blocked] parts of its prompt crash targets. */
    public data class Probe(val blocked: List<PromptPartId>) : PromptPartAdmission

    /** The request is refused; one like it may be sent as a probe after [retryAfterMillis]. */
    public data class Refused(val retryAfterMillis: Long) : PromptPartAdmission
}

/**
 * The parts of prompts under which targets crashed, as one VM knows them. Immutable.
 *
 * A part that crashes each target that begins to answer on it is in no answer that has begun. A crash is attributed to
 * all parts of the lost requests that had hardly begun to be answered, also to those of requests that only waited on
 * the target. An answer that goes on clears its parts of all crashes before it began.
 *
 * Crashes alone don't tell the part that causes them from those that come with it, so a verdict may hit both. It is
 * probed, by one request at a time: at once if blocked parts that the request doesn't hold explain the crashes, and
 * otherwise once soon after the latest crash, then at growing intervals. Times are on the VM's steady clock; VMs
 * exchange crashes, verdicts and probes, not times.
 */
public data class PromptPartLedger(
    val settings: PromptPartSettings = PromptPartSettings(),
    val suspicions: PersistentMap<PromptPartId, PartSuspicion> = persistentMapOf(),
    val completedParts: PersistentMap<PromptPartId, CompletedPart> = persistentMapOf(),
) {
    /** The parts that are blocked now or until recently. */
    val blockedParts: List<PromptPartId>
        get() = suspicions.filterValues(PartSuspicion::isBlocked).keys.toList()

    /** Returns the ledger after [life] crashed while it ran a request with [parts]. */
    public fun crashed(life: TargetLife, parts: List<PromptPartId>, nowMillis: Long): PromptPartLedger {
        val attributed = parts.fold(this) { ledger, part -> ledger.attribute(part, life, nowMillis) }
        if (attributed === this) return this
        val (known, new) = parts.partition { it in completedParts }
        return attributed.blockedIfUnexplained(new).blockedIfUnexplained(known)
    }

    private fun attribute(part: PromptPartId, life: TargetLife, nowMillis: Long): PromptPartLedger {
        val known = suspicions[part] ?: PartSuspicion()
        if (life in known.lives || life in clearedLives(part)) return this
        return withSuspicion(part, known.crashed(life, nowMillis, settings.separationMillis))
    }

    private fun clearedLives(part: PromptPartId): Set<TargetLife> = completedParts[part]?.clearedLives.orEmpty()

    /** Returns the ledger with those of [parts] blocked whose crashes the parts blocked before don't explain. */
    private fun blockedIfUnexplained(parts: List<PromptPartId>): PromptPartLedger {
        val explaining = blockedParts
        return parts.fold(this) { ledger, part ->
            val suspicion = ledger.suspicions[part]
            val isGuilty = suspicion != null && !suspicion.isBlocked &&
                unexplainedCrashes(suspicion, explaining) >= crashesToBlock(part, suspicion)
            if (isGuilty) ledger.withSuspicion(part, suspicion.copy(isBlocked = true)) else ledger
        }
    }

    private fun unexplainedCrashes(suspicion: PartSuspicion, explaining: List<PromptPartId>): Int =
        suspicion.crashesOutside { life -> explaining.any { part -> suspicions[part]?.lives?.contains(life) == true } }

    private fun crashesToBlock(part: PromptPartId, suspicion: PartSuspicion): Int {
        val isSpared = part in completedParts && suspicion.lives.size < settings.crashesToBlockKnown
        return if (isSpared) settings.crashesToBlockKnown else settings.crashesToBlock
    }

    private fun withSuspicion(part: PromptPartId, suspicion: PartSuspicion): PromptPartLedger =
        copy(suspicions = suspicions.removing(part).putting(part, suspicion).keepingLatest(settings.maxParts))

    /**
     * Returns the ledger after an answer to a request with [parts], which began at [beganMillis], has gone on or ended
     * as its framing states; an answer that began before the latest crash of a part doesn't clear it.
     */
    public fun answered(parts: List<PromptPartId>, beganMillis: Long): PromptPartLedger {
        val cleared = parts.filter { part -> suspicions[part]?.let { it.latestMillis <= beganMillis } ?: true }
        return copy(
            suspicions = cleared.fold(suspicions) { kept, part -> kept.removing(part) },
            completedParts = parts
                .fold(completedParts) { known, part -> known.removing(part).putting(part, clearance(part, cleared)) }
                .keepingLatest(settings.maxParts),
        )
    }

    private fun clearance(part: PromptPartId, cleared: List<PromptPartId>): CompletedPart {
        val known = completedParts[part] ?: CompletedPart()
        val suspicion = suspicions[part]
        return if (suspicion == null || part !in cleared) known else known.cleared(suspicion.lives.keys)
    }

    /** Returns the ledger after another VM has reported its [verdict]; a known answer outweighs fewer crashes. */
    public fun blocked(verdict: PartVerdict, nowMillis: Long): PromptPartLedger {
        if (outweighs(verdict)) return this
        val merged = (suspicions[verdict.part] ?: PartSuspicion()).merged(verdict, nowMillis)
        val isBlocked = verdict.part !in completedParts || merged.crashes >= crashesToBlock(verdict.part, merged)
        return withSuspicion(verdict.part, merged.copy(isBlocked = merged.isBlocked || isBlocked))
    }

    /** Returns whether all crashes of [verdict] were cleared by answers that this VM knows of. */
    public fun outweighs(verdict: PartVerdict): Boolean =
        verdict.lives.isNotEmpty() && clearedLives(verdict.part).containsAll(verdict.lives.keys)

    /** Returns the verdicts in force, with what other VMs need to judge and probe them alike. */
    public fun verdicts(nowMillis: Long): List<PartVerdict> =
        blockedParts
            .filter { blockedForMillisOrNull(listOf(it), nowMillis) != null }
            .mapNotNull { part -> suspicions[part]?.verdict(part, nowMillis) }

    /** Returns how long requests with [parts] remain blocked, in milliseconds, or `null` if they are not. */
    public fun blockedForMillisOrNull(parts: List<PromptPartId>, nowMillis: Long): Long? =
        parts
            .mapNotNull { part -> suspicions[part]?.takeIf(PartSuspicion::isBlocked) }
            .maxOfOrNull { it.latestMillis + blockMillis(it) - nowMillis }
            ?.takeIf { it > 0 }

    private fun blockMillis(suspicion: PartSuspicion): Long =
        generateSequence(settings.blockMillis) { it * settings.blockGrowth }
            .elementAt((suspicion.failedProbes - 1).coerceIn(0, MAX_BLOCK_EXTENSIONS))

    /** Returns whether a request with [parts] may be sent at [nowMillis]. */
    public fun admission(parts: List<PromptPartId>, nowMillis: Long): PromptPartAdmission {
        val blocked = parts.filter { suspicions[it]?.isBlocked == true }
        if (blocked.isEmpty()) return PromptPartAdmission.Allowed
        val waitMillis = probeAtMillis(blocked, parts) - nowMillis
        return if (waitMillis > 0) PromptPartAdmission.Refused(waitMillis) else PromptPartAdmission.Probe(blocked)
    }

    private fun probeAtMillis(blocked: List<PromptPartId>, parts: List<PromptPartId>): Long {
        val suspects = blocked.mapNotNull(suspicions::get)
        val explaining = blockedParts - parts.toSet()
        val areExplained = suspects.all { unexplainedCrashes(it, explaining) < settings.crashesToBlock }
        return suspects.maxOf { suspicion ->
            val crashMillis = suspicion.latestMillis + if (areExplained) 0 else untilProbeMillis(suspicion)
            maxOf(crashMillis, suspicion.probedMillis?.plus(settings.probeIntervalMillis) ?: crashMillis)
        }
    }

    private fun untilProbeMillis(suspicion: PartSuspicion): Long =
        if (suspicion.failedProbes == 0) settings.firstProbeMillis else blockMillis(suspicion)

    /** Returns the ledger after a request was sent as a probe of the blocked [parts], by this VM or another one. */
    public fun probed(parts: List<PromptPartId>, nowMillis: Long): PromptPartLedger =
        parts.fold(this) { ledger, part ->
            val suspicion = ledger.suspicions[part] ?: return@fold ledger
            ledger.copy(suspicions = ledger.suspicions.putting(part, suspicion.copy(probedMillis = nowMillis)))
        }

    private companion object {
        /** Extends a block to at most some five days. */
        const val MAX_BLOCK_EXTENSIONS = 3
    }
}

private fun <V> PersistentMap<PromptPartId, V>.keepingLatest(count: Int): PersistentMap<PromptPartId, V> =
    keys.take((size - count).coerceAtLeast(0)).fold(this) { kept, part -> kept.removing(part) }
