package org.banyanturn.core.relay

/** The highest epoch that the platform's store may state. */
public const val MAX_STORE_EPOCH: Long = 1L shl 20

/** The highest generation of a group that has a fencing number. */
public const val MAX_GENERATION: Long = 0xFFFF_FFFFL

private const val GENERATION_BITS = 32

/**
 * Returns the fencing number of orders under [generation] of the group in [epoch] of the store.
 *
 * It rises with the epoch although the generation goes back, equals the generation in epoch 0, and stays below 2^53, up
 * to which a JSON number states each integer exactly.
 */
public fun fencingNumber(epoch: Long, generation: Long): Long {
    require(epoch in 0..MAX_STORE_EPOCH) { "epoch $epoch is not between 0 and $MAX_STORE_EPOCH" }
    require(generation in 0..MAX_GENERATION) { "generation $generation is not between 0 and $MAX_GENERATION" }
    return (epoch shl GENERATION_BITS) or generation
}

/** What the epoch in a response of the store means for the reader. */
public sealed interface EpochReading {
    /** The response belongs to the current epoch, or states none. */
    public data object Current : EpochReading

    /**
     * The response is the first of [epoch], which is now current.
     *
     * @property isRollback whether the store was restored since an earlier response; `false` for the first response.
     */
    public data class Risen(val epoch: Long, val previous: Long, val isRollback: Boolean) : EpochReading

    /** The response belongs to an [epoch] before the [current] one and must not be used. */
    public data class Stale(val epoch: Long, val current: Long) : EpochReading

    /** The [epoch] is more than one ahead; the response must not be used until another one states the same epoch. */
    public data class Unconfirmed(val epoch: Long) : EpochReading

    /** The header's value is no epoch; the last valid epoch stays in force, and the response is used. */
    public data class Unreadable(val text: String) : EpochReading
}

/**
 * Tracks the epoch of the platform's store by the header of its responses. Not thread-safe.
 *
 * An epoch that is more than one ahead is adopted only when the next response that states an epoch repeats it: a single
 * wrong value would otherwise make all correct responses stale.
 */
public class StoreEpochTracker {
    private var hasResponse = false
    private var hasEpoch = false
    private var candidate: Long? = null

    /** The highest epoch that was adopted; 0 while no response has stated one. */
    public var current: Long = 0
        private set

    /** Records the [text] of the header of a response, or `null` if the response has none. */
    public fun observe(text: String?): EpochReading {
        val isFirstResponse = !hasResponse
        hasResponse = true
        if (text == null) return EpochReading.Current
        val epoch = parseEpochOrNull(text) ?: return EpochReading.Unreadable(text)
        val isConfirmed = !hasEpoch || epoch <= current + 1 || epoch == candidate
        candidate = if (isConfirmed) null else epoch
        hasEpoch = true
        return when {
            epoch == current -> EpochReading.Current
            epoch < current -> EpochReading.Stale(epoch, current)
            isConfirmed -> EpochReading.Risen(epoch, current, isRollback = !isFirstResponse).also { current = epoch }
            else -> EpochReading.Unconfirmed(epoch)
        }
    }

    private fun parseEpochOrNull(text: String): Long? {
        val digits = text.trim()
        if (digits.isEmpty() || digits.length > MAX_DIGITS || digits.any { it !in '0'..'9' }) return null
        return digits.toLong().takeIf { it <= MAX_STORE_EPOCH }
    }

    private companion object {
        const val MAX_DIGITS = 18
    }
}
