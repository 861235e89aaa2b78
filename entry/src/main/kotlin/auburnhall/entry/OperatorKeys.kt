/*
 * Recognises operators by their keys.
 */
package auburnhall.entry

import org.http4k.core.Request
import java.security.MessageDigest

/** Tells which of [operators] a request comes from, by its `Authorization: Bearer` header. */
internal class OperatorKeys(
    private val operators: List<Operator>,
) {
    /** The operator's name; null when the key is missing or belongs to nobody. */
    fun nameOf(request: Request): String? {
        val key = request.header("Authorization")?.takeIf { it.startsWith(PREFIX) } ?: return null
        val digest = sha256(key.removePrefix(PREFIX).trim())
        return operators.firstOrNull { MessageDigest.isEqual(it.keyDigest.toByteArray(), digest.toByteArray()) }?.name
    }

    private fun sha256(text: String): String =
        MessageDigest
            .getInstance("SHA-256")
            .digest(text.toByteArray())
            .joinToString("") { "%02x".format(it) }

    private companion object {
        const val PREFIX = "Bearer "
    }
}
