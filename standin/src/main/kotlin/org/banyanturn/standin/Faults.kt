package org.banyanturn.standin

import kotlinx.serialization.Serializable
import kotlinx.serialization.SerializationException
import kotlinx.serialization.json.Json

/**
 * Faults that a listener shows; switched over HTTP under `/faults`.
 *
 * @property outage answers 503 and does nothing.
 * @property refuse cuts each connection before anything is done.
 * @property silent answers nothing and does nothing; connections that met it stay silent for good.
 * @property delayMillis waits before each call takes effect.
 * @property loseAnswers cuts the connection after a call other than GET has taken effect.
 * @property slowFactor multiplies the time of transfers, loads and tokens.
 * @property cutAfterTokens cuts a stream after so many tokens.
 * @property silenceAfterTokens lets a stream go silent after so many tokens.
 * @property crossAnswers puts another attempt's id on the chunks.
 */
@Serializable
public data class Faults(
    val outage: Boolean = false,
    val refuse: Boolean = false,
    val silent: Boolean = false,
    val delayMillis: Long = 0,
    val loseAnswers: Boolean = false,
    val slowFactor: Double = 1.0,
    val cutAfterTokens: Int? = null,
    val silenceAfterTokens: Int? = null,
    val crossAnswers: Boolean = false,
)

private val faultsJson = Json { encodeDefaults = true }

/** Returns the JSON form of these faults. */
internal fun Faults.encode(): String = faultsJson.encodeToString(Faults.serializer(), this)

/** Returns the faults in [text], or `null` if it is malformed or names an unknown fault. */
internal fun decodeFaultsOrNull(text: String): Faults? =
    try {
        faultsJson.decodeFromString(Faults.serializer(), text)
    } catch (_: SerializationException) {
        null
    } catch (_: IllegalArgumentException) {
        null
    }
