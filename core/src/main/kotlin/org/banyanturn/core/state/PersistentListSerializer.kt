package org.banyanturn.core.state

import kotlinx.collections.immutable.PersistentList
import kotlinx.collections.immutable.toPersistentList
import kotlinx.serialization.KSerializer
import kotlinx.serialization.builtins.ListSerializer
import kotlinx.serialization.descriptors.SerialDescriptor
import kotlinx.serialization.encoding.Decoder
import kotlinx.serialization.encoding.Encoder

/** Serializes a persistent list in the same form as a plain list. */
internal class PersistentListSerializer<T>(elementSerializer: KSerializer<T>) : KSerializer<PersistentList<T>> {
    private val listSerializer = ListSerializer(elementSerializer)

    override val descriptor: SerialDescriptor =
        SerialDescriptor("org.banyanturn.core.state.PersistentList", listSerializer.descriptor)

    override fun serialize(encoder: Encoder, value: PersistentList<T>): Unit = listSerializer.serialize(encoder, value)

    override fun deserialize(decoder: Decoder): PersistentList<T> =
        listSerializer.deserialize(decoder).toPersistentList()
}
