@file:OptIn(ExperimentalSerializationApi::class)

package org.banyanturn.entry

import kotlinx.serialization.ExperimentalSerializationApi
import kotlinx.serialization.KSerializer
import kotlinx.serialization.SerializationException
import kotlinx.serialization.protobuf.ProtoBuf

private val protoBuf = ProtoBuf { encodeDefaults = false }

/** Returns [message] in its wire format. */
internal fun <T> encodeMessage(serializer: KSerializer<T>, message: T): ByteArray =
    protoBuf.encodeToByteArray(serializer, message)

/** Returns the message encoded in [bytes], or `null` if they are malformed. */
internal fun <T> decodeMessageOrNull(serializer: KSerializer<T>, bytes: ByteArray): T? =
    try {
        protoBuf.decodeFromByteArray(serializer, bytes)
    } catch (_: SerializationException) {
        null
    } catch (_: IllegalArgumentException) {
        null
    } catch (_: IndexOutOfBoundsException) {
        // The library does not validate the lengths in a malformed message.
        null
    }
