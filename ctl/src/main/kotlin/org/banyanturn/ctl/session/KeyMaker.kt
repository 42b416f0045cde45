package org.banyanturn.ctl.session

import org.banyanturn.core.KeyId
import java.security.MessageDigest
import java.security.SecureRandom
import java.util.Base64
import java.util.HexFormat

private const val SECRET_BYTES = 32
private const val ID_BYTES = 6
private const val KEY_PREFIX = "bt_"

/** A new key: [secret] is shown once, [hash] is what the log keeps. */
public data class NewKey(val keyId: KeyId, val secret: String, val hash: String) {
    override fun toString(): String = "NewKey($keyId)"
}

/** Returns a new key from [random]. */
public fun newKey(random: SecureRandom): NewKey {
    val secret = KEY_PREFIX + Base64.getUrlEncoder().withoutPadding().encodeToString(random.bytes(SECRET_BYTES))
    val keyId = KeyId("key-" + HexFormat.of().formatHex(random.bytes(ID_BYTES)))
    return NewKey(keyId, secret, sha256Hex(secret))
}

/** Returns the SHA-256 of [text] in UTF-8 as lower-case hexadecimal digits. */
public fun sha256Hex(text: String): String =
    HexFormat.of().formatHex(MessageDigest.getInstance("SHA-256").digest(text.encodeToByteArray()))

private fun SecureRandom.bytes(count: Int): ByteArray = ByteArray(count).also(::nextBytes)
