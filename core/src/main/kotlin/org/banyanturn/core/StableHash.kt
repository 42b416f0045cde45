package org.banyanturn.core

private const val FNV_OFFSET_BASIS = -3_750_763_034_362_895_579L
private const val FNV_PRIME = 1_099_511_628_211L
private const val MIX_MULTIPLIER = -4_417_276_706_812_531_889L
private const val MIX_SHIFT = 32

/** Returns a 64-bit hash of [text] that is the same on every VM and in every version. */
public fun stableHash(text: String): Long {
    val hash = text.encodeToByteArray().fold(FNV_OFFSET_BASIS) { hash, byte -> (hash xor byte.toLong()) * FNV_PRIME }
    return mix(hash)
}

/** Combines two hashes into one that is the same on every VM, for rendezvous hashing. */
public fun mixedHash(first: Long, second: Long): Long = mix(first * FNV_PRIME xor second)

private fun mix(hash: Long): Long {
    val mixed = (hash xor (hash ushr MIX_SHIFT)) * MIX_MULTIPLIER
    return mixed xor (mixed ushr MIX_SHIFT)
}
