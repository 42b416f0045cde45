@file:OptIn(ExperimentalSerializationApi::class)

package org.banyanturn.entry

import kotlinx.serialization.ExperimentalSerializationApi
import kotlinx.serialization.KSerializer
import kotlinx.serialization.SerializationException
import kotlinx.serialization.protobuf.ProtoBuf

private val protoBuf = ProtoBuf { encodeDefaults = false }

/** Returns the bytes of [message] as other VMs read them. */
internal fun <T> encodeMessage(serializer: KSerializer<T>, message: T): ByteArray =
    protoBuf.encodeToByteArray(serializer, message)

/** Returns the message in [bytes] of another VM, or `null` if it can't be read. */
internal fun <T> decodeMessageOrNull(serializer: KSerializer<T>, bytes: ByteArray): T? =
    try {
        protoBuf.decodeFromByteArray(serializer, bytes)
    } catch (_: SerializationException) {
        null
    } catch (_: IllegalArgumentException) {
        null
    } catch (_: IndexOutOfBoundsException) {
        // The library checks no length that a broken message names.
        null
    }
