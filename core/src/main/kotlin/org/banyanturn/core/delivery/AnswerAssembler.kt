package org.banyanturn.core.delivery

import kotlinx.collections.immutable.PersistentList
import kotlinx.collections.immutable.persistentListOf

/** A part of a streamed answer, with the attempt that the engine says it belongs to. */
public sealed interface AnswerChunk {
    /** The attempt that this part answers. */
    public val attemptId: AttemptId

    /** One token and its position in the whole answer, from 0. */
    public data class Token(override val attemptId: AttemptId, val index: Int, val text: String) : AnswerChunk

    /** The engine's word that the answer is whole with [tokenCount] tokens. */
    public data class Finished(override val attemptId: AttemptId, val tokenCount: Int, val finishReason: String) :
        AnswerChunk
}

/** What to do with a part of a streamed answer. */
public sealed interface ChunkResult {
    /** The caller gets [text] now. */
    public data class Deliver(val text: String) : ChunkResult

    /** The caller gets nothing: the part is of another attempt or was delivered before. */
    public data object Discard : ChunkResult

    /** The answer is whole. */
    public data class Complete(val tokenCount: Int, val finishReason: String) : ChunkResult

    /** Tokens are missing: the attempt is of no more use, and the answer resumes at [resumeAtToken]. */
    public data class Gap(val resumeAtToken: Int) : ChunkResult

    /** The engine sent another text for a token that the caller has: the answer can't be completed. */
    public data object Mismatch : ChunkResult
}

/**
 * The part of a streamed answer that the caller has.
 *
 * @property attemptId the only attempt whose parts count, or `null` between attempts.
 * @property isComplete whether the caller has the whole answer.
 */
public data class AnswerAssembler(
    val attemptId: AttemptId? = null,
    val isComplete: Boolean = false,
    private val tokenHashes: PersistentList<Int> = persistentListOf(),
) {
    /** Tokens that the caller has; the position at which the next attempt resumes. */
    val deliveredTokens: Int get() = tokenHashes.size

    /** Returns the assembler that takes parts of [attemptId] only. */
    public fun startAttempt(attemptId: AttemptId): AnswerAssembler = copy(attemptId = attemptId)

    /** Returns the assembler that takes no parts until the next attempt starts. */
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

    /** Returns the assembler after [chunk] was dealt with as [evaluate] says. */
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
