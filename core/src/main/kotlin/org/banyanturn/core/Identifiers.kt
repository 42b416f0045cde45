package org.banyanturn.core

import kotlinx.serialization.Serializable

/** Identifies a member: one of the organisations that share the fleet. */
@Serializable
@JvmInline
public value class MemberId(public val value: String) {
    init {
        requireIdentifier(value)
    }

    override fun toString(): String = value
}

/** Identifies a key; unlike the key itself, it may be displayed and logged. */
@Serializable
@JvmInline
public value class KeyId(public val value: String) {
    init {
        requireIdentifier(value)
    }

    override fun toString(): String = value
}

/** Identifies a model, without its version. */
@Serializable
@JvmInline
public value class ModelId(public val value: String) {
    init {
        requireIdentifier(value)
    }

    override fun toString(): String = value
}

/** Identifies an adapter, without its version. */
@Serializable
@JvmInline
public value class AdapterId(public val value: String) {
    init {
        requireIdentifier(value)
    }

    override fun toString(): String = value
}

/** Identifies a target: a model engine or a plain service. */
@Serializable
@JvmInline
public value class TargetId(public val value: String) {
    init {
        requireIdentifier(value)
    }

    override fun toString(): String = value
}

/** The name of a route to plain services, as used in request paths. */
@Serializable
@JvmInline
public value class RouteName(public val value: String) {
    init {
        requireIdentifier(value)
    }

    override fun toString(): String = value
}

/** Identifies an entry VM. */
@Serializable
@JvmInline
public value class VmId(public val value: String) {
    init {
        requireIdentifier(value)
    }

    override fun toString(): String = value
}

/** Identifies an availability zone. */
@Serializable
@JvmInline
public value class ZoneId(public val value: String) {
    init {
        requireIdentifier(value)
    }

    override fun toString(): String = value
}

/** Identifies a region: a group of availability zones. */
@Serializable
@JvmInline
public value class RegionId(public val value: String) {
    init {
        requireIdentifier(value)
    }

    override fun toString(): String = value
}

/**
 * An incarnation of an entry VM: after a restart a VM keeps its [vmId] and gets a higher [number].
 *
 * @property number start time of the process, in milliseconds since the epoch.
 */
@Serializable
public data class Incarnation(val vmId: VmId, val number: Long) {
    override fun toString(): String = "$vmId#$number"
}

private const val MAX_IDENTIFIER_LENGTH = 128
private val identifierPattern = Regex("[A-Za-z0-9][A-Za-z0-9._:/-]*")

/**
 * Returns whether [value] is a valid identifier: 1 to 128 letters, digits or characters of `._:/-`, of which the first
 * is a letter or digit.
 */
public fun isIdentifier(value: String): Boolean =
    value.length <= MAX_IDENTIFIER_LENGTH && identifierPattern.matches(value)

private fun requireIdentifier(value: String) {
    require(isIdentifier(value)) {
        "an identifier must have 1 to $MAX_IDENTIFIER_LENGTH letters, digits or ._:/- and start with a letter or digit"
    }
}
