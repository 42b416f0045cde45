package org.banyanturn.core.delivery

import kotlinx.collections.immutable.PersistentMap
import kotlinx.collections.immutable.PersistentSet
import kotlinx.collections.immutable.persistentMapOf
import kotlinx.collections.immutable.persistentSetOf
import org.banyanturn.core.TargetId

/** Identifies a part of a prompt, which the prompts of other requests may share. */
@JvmInline
public value class PromptPartId(public val value: String)

/** One incarnation of a target; it crashes once. */
public data class TargetLife(val targetId: TargetId, val bornEpochMillis: Long?)

/**
 * Settings for attributing target crashes to parts of prompts.
 *
 * @property crashesToBlock number of crashes after which a part that is in no known complete answer is blocked.
 * @property crashesToBlockKnown number of crashes since its last complete answer after which any part is blocked.
 * @property separationMillis crashes that are less than this apart count as one: a network fault breaks the connections
 * to many targets at once, while a request crashes one target after the other.
 * @property blockMillis how long a part stays blocked after its latest crash.
 * @property maxParts maximum number of suspect parts, and of parts in complete answers, that are kept.
 */
public data class PromptPartSettings(
    val crashesToBlock: Int = 3,
    val crashesToBlockKnown: Int = 5,
    val separationMillis: Long = 300,
    val blockMillis: Long = 900_000,
    val maxParts: Int = 10_000,
)

/**
 * The crashes attributed to a part since its last complete answer.
 *
 * @property lives the incarnations of targets that crashed.
 * @property crashes the number of crashes, of which those close together count once.
 * @property latestMillis time of the latest counted crash.
 * @property isBlocked whether requests with the part are refused.
 */
public data class PartSuspicion(
    val lives: PersistentSet<TargetLife> = persistentSetOf(),
    val crashes: Int = 0,
    val latestMillis: Long = 0,
    val isBlocked: Boolean = false,
)

/**
 * The parts of prompts under which targets crashed, as one VM knows them. Immutable.
 *
 * A part that crashes each target that begins to answer on it is in no complete answer. A crash is attributed to those
 * parts of the lost request that are in no known complete answer, or to all of its parts if each one is. A complete
 * answer clears its parts. Times are on the VM's steady clock; VMs exchange crashes and verdicts, not times.
 */
public data class PromptPartLedger(
    val settings: PromptPartSettings = PromptPartSettings(),
    val suspicions: PersistentMap<PromptPartId, PartSuspicion> = persistentMapOf(),
    val completedParts: PersistentMap<PromptPartId, Long> = persistentMapOf(),
) {
    /** The parts that are blocked now or until recently. */
    val blockedParts: List<PromptPartId>
        get() = suspicions.filterValues(PartSuspicion::isBlocked).keys.toList()

    /** Returns the ledger after [life] crashed while it ran a request with [parts]. */
    public fun crashed(life: TargetLife, parts: List<PromptPartId>, nowMillis: Long): PromptPartLedger {
        val blamed = if (parts.any(::isBlocked)) parts.filter(::isBlocked) else blamedParts(parts)
        return blamed.fold(this) { ledger, part -> ledger.attribute(part, life, nowMillis) }
    }

    private fun isBlocked(part: PromptPartId): Boolean = suspicions[part]?.isBlocked == true

    private fun blamedParts(parts: List<PromptPartId>): List<PromptPartId> =
        parts.filterNot { it in completedParts }.ifEmpty { parts }

    private fun attribute(part: PromptPartId, life: TargetLife, nowMillis: Long): PromptPartLedger {
        val known = suspicions[part] ?: PartSuspicion()
        if (life in known.lives) return this
        val isSeparate = known.crashes == 0 || nowMillis - known.latestMillis >= settings.separationMillis
        val crashes = known.crashes + if (isSeparate) 1 else 0
        return withSuspicion(
            part,
            PartSuspicion(
                lives = known.lives.adding(life),
                crashes = crashes,
                latestMillis = if (isSeparate) nowMillis else known.latestMillis,
                isBlocked = known.isBlocked || crashes >= crashesToBlock(part),
            ),
        )
    }

    private fun crashesToBlock(part: PromptPartId): Int =
        if (part in completedParts) settings.crashesToBlockKnown else settings.crashesToBlock

    private fun withSuspicion(part: PromptPartId, suspicion: PartSuspicion): PromptPartLedger =
        copy(suspicions = suspicions.removing(part).putting(part, suspicion).keepingLatest(settings.maxParts))

    /** Returns the ledger after an answer to a request with [parts] was complete. */
    public fun completed(parts: List<PromptPartId>, nowMillis: Long): PromptPartLedger =
        copy(
            suspicions = parts.fold(suspicions) { kept, part -> kept.removing(part) },
            completedParts = parts
                .fold(completedParts) { known, part -> known.removing(part).putting(part, nowMillis) }
                .keepingLatest(settings.maxParts),
        )

    /** Returns the ledger after another VM has blocked [part]; a known complete answer outweighs its verdict. */
    public fun blocked(part: PromptPartId, nowMillis: Long): PromptPartLedger {
        if (part in completedParts || isBlocked(part)) return this
        val known = suspicions[part] ?: PartSuspicion(latestMillis = nowMillis)
        return withSuspicion(part, known.copy(isBlocked = true))
    }

    /** Returns how long requests with [parts] remain blocked, in milliseconds, or `null` if they may run. */
    public fun blockedForMillisOrNull(parts: List<PromptPartId>, nowMillis: Long): Long? =
        parts
            .mapNotNull { part -> suspicions[part]?.takeIf(PartSuspicion::isBlocked) }
            .maxOfOrNull { it.latestMillis + settings.blockMillis - nowMillis }
            ?.takeIf { it > 0 }
}

private fun <V> PersistentMap<PromptPartId, V>.keepingLatest(count: Int): PersistentMap<PromptPartId, V> =
    keys.take((size - count).coerceAtLeast(0)).fold(this) { kept, part -> kept.removing(part) }
