package org.banyanturn.core.delivery

import kotlinx.serialization.Serializable

/** The identifier of a request; unique over all VMs and their incarnations. */
@Serializable
@JvmInline
public value class RequestId(public val value: String) {
    init {
        require(value.isNotBlank()) { "a request id must not be blank" }
    }

    override fun toString(): String = value
}

/** The identifier of one attempt to run a request on a target; unique over all attempts. */
@Serializable
@JvmInline
public value class AttemptId(public val value: String) {
    init {
        require(value.isNotBlank()) { "an attempt id must not be blank" }
    }

    override fun toString(): String = value
}

/** Returns the identifier of the attempt of this request with the given [number], counted from 1. */
public fun RequestId.attempt(number: Int): AttemptId = AttemptId("$value.$number")
