package org.banyanturn.core.state

import kotlinx.serialization.Serializable
import kotlinx.serialization.json.Json
import java.io.ByteArrayInputStream
import java.io.ByteArrayOutputStream
import java.io.IOException
import java.security.MessageDigest
import java.util.Base64
import java.util.zip.GZIPInputStream
import java.util.zip.GZIPOutputStream

/** The name of the internal stream that contains the checkpoints of the shared state. */
public const val CHECKPOINT_STREAM: String = "checkpoints"

/** The maximum length of the body of a checkpoint chunk, in characters. */
public const val MAX_CHUNK_BODY_LENGTH: Int = 64 * 1024

private const val CHECKPOINT_FORMAT = 1

private val checkpointJson = Json {
    ignoreUnknownKeys = true
    encodeDefaults = false
}

/**
 * Represents the fields that all chunks of a checkpoint have in common.
 *
 * @property format version of the chunk format.
 * @property checkpointId id chosen by the writer, unique for each writer and attempt.
 * @property nextOffset offset of the first record that the checkpoint does not contain.
 * @property count number of chunks of the checkpoint.
 * @property sha256 SHA-256 of the compressed state, in hexadecimal digits.
 */
@Serializable
internal data class CheckpointHeader(
    val format: Int,
    val checkpointId: String,
    val nextOffset: Long,
    val count: Int,
    val sha256: String,
)

/** Represents one record of the checkpoint stream: a part of the compressed state in Base64. */
@Serializable
internal data class CheckpointChunk(val header: CheckpointHeader, val index: Int, val body: String) {
    val isValid: Boolean get() = header.format == CHECKPOINT_FORMAT && index in 0 until header.count
}

/**
 * Returns the payloads of a checkpoint of this state in the order in which they are appended to [CHECKPOINT_STREAM].
 *
 * @param checkpointId an id that is unique for each writer and attempt.
 * @param maxBodyLength the maximum length of the body of a chunk, in characters.
 */
public fun FleetState.encodeCheckpoint(
    checkpointId: String,
    maxBodyLength: Int = MAX_CHUNK_BODY_LENGTH,
): List<String> {
    require(maxBodyLength > 0) { "maxBodyLength must be positive, was $maxBodyLength" }
    val compressed = compress(checkpointJson.encodeToString(FleetSnapshot.serializer(), toSnapshot()))
    val bodies = Base64.getEncoder().encodeToString(compressed).chunked(maxBodyLength)
    val header = CheckpointHeader(CHECKPOINT_FORMAT, checkpointId, nextOffset, bodies.size, sha256Of(compressed))
    return bodies.mapIndexed { index, body ->
        checkpointJson.encodeToString(CheckpointChunk.serializer(), CheckpointChunk(header, index, body))
    }
}

/** Returns the chunk in [payload], or `null` if it is malformed or its format is unknown to this version. */
internal fun decodeCheckpointChunkOrNull(payload: String): CheckpointChunk? =
    try {
        checkpointJson.decodeFromString(CheckpointChunk.serializer(), payload).takeIf { it.isValid }
    } catch (_: RuntimeException) {
        null
    }

/** Returns the state encoded in [bodies], or `null` if it cannot be decoded or does not match [header]. */
internal fun decodeCheckpointOrNull(header: CheckpointHeader, bodies: List<String>): FleetState? =
    try {
        val compressed = Base64.getDecoder().decode(bodies.joinToString(""))
        when (header.sha256) {
            sha256Of(compressed) ->
                checkpointJson.decodeFromString(FleetSnapshot.serializer(), decompress(compressed)).toState()
                    .takeIf { it.nextOffset == header.nextOffset }

            else -> null
        }
    } catch (_: RuntimeException) {
        null
    } catch (_: IOException) {
        null
    }

private fun compress(text: String): ByteArray {
    val bytes = ByteArrayOutputStream()
    GZIPOutputStream(bytes).use { it.write(text.encodeToByteArray()) }
    return bytes.toByteArray()
}

private fun decompress(bytes: ByteArray): String =
    GZIPInputStream(ByteArrayInputStream(bytes)).use { it.readBytes().decodeToString() }

private fun sha256Of(bytes: ByteArray): String =
    MessageDigest.getInstance("SHA-256").digest(bytes).joinToString("") { "%02x".format(it) }
