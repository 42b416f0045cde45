package org.banyanturn.core.delivery

import kotlinx.collections.immutable.PersistentList
import kotlinx.collections.immutable.persistentListOf

/** A part of a streamed answer, tagged by the engine with the attempt that it belongs to. */
public sealed interface AnswerChunk {
    /** The attempt that this chunk belongs to. */
    public val attemptId: AttemptId

    /** A token and its position in the whole answer, counted from 0. */
    public data class Token(override val attemptId: AttemptId, val index: Int, val text: String) : AnswerChunk

    /** Marks the end of the answer, which has [tokenCount] tokens in all. */
    public data class Finished(override val attemptId: AttemptId, val tokenCount: Int, val finishReason: String) :
        AnswerChunk
}

/** The result of checking a chunk of a streamed answer: what to do with it. */
public sealed interface ChunkResult {
    /** The caller is sent [text] now. */
    public data class Deliver(val text: String) : ChunkResult

    /** The chunk is ignored: it belongs to another attempt or was delivered before. */
    public data object Discard : ChunkResult

    /** The answer is complete. */
    public data class Complete(val tokenCount: Int, val finishReason: String) : ChunkResult

    /** Tokens are missing: the attempt is abandoned, and the next one resumes at [resumeAtToken]. */
    public data class Gap(val resumeAtToken: Int) : ChunkResult

    /** The engine sent a different text for a token that was already delivered: the answer can't be completed. */
    public data object Mismatch : ChunkResult
}

/**
 * Assembles a streamed answer from the chunks of one or more attempts, without gaps or duplicates.
 *
 * @property attemptId the attempt whose chunks are accepted, or `null` between attempts.
 * @property isComplete whether the whole answer was delivered to the caller.
 */
public data class AnswerAssembler(
    val attemptId: AttemptId? = null,
    val isComplete: Boolean = false,
    private val tokenHashes: PersistentList<Int> = persistentListOf(),
) {
    /** Number of tokens delivered to the caller; the position at which the next attempt resumes. */
    val deliveredTokens: Int get() = tokenHashes.size

    /** Returns an assembler that accepts chunks of [attemptId] only. */
    public fun startAttempt(attemptId: AttemptId): AnswerAssembler = copy(attemptId = attemptId)

    /** Returns an assembler that accepts no chunks until the next attempt starts. */
    public fun stopAttempt(): AnswerAssembler = copy(attemptId = null)

    /** Returns what to do with [chunk]. */
    public fun evaluate(chunk: AnswerChunk): ChunkResult =
        when {
            isComplete || chunk.attemptId != attemptId -> ChunkResult.Discard

            chunk is AnswerChunk.Token -> evaluateToken(chunk)

            chunk is AnswerChunk.Finished && chunk.tokenCount == deliveredTokens ->
                ChunkResult.Complete(chunk.tokenCount, chunk.finishReason)

            chunk is AnswerChunk.Finished && chunk.tokenCount < deliveredTokens -> ChunkResult.Mismatch

            else -> ChunkResult.Gap(deliveredTokens)
        }

    /** Returns the assembler after [chunk] was handled as [evaluate] specifies. */
    public fun accept(chunk: AnswerChunk): AnswerAssembler =
        when (val result = evaluate(chunk)) {
            is ChunkResult.Deliver -> copy(tokenHashes = tokenHashes.adding(result.text.hashCode()))
            is ChunkResult.Complete -> copy(isComplete = true, attemptId = null)
            is ChunkResult.Gap, ChunkResult.Mismatch -> stopAttempt()
            ChunkResult.Discard -> this
        }

    private fun evaluateToken(token: AnswerChunk.Token): ChunkResult =
        when {
            token.index == deliveredTokens -> ChunkResult.Deliver(token.text)
            token.index > deliveredTokens -> ChunkResult.Gap(deliveredTokens)
            token.index < 0 || tokenHashes[token.index] != token.text.hashCode() -> ChunkResult.Mismatch
            else -> ChunkResult.Discard
        }
}
