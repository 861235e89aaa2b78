/*
 * The answer that every stand-in engine gives to a prompt. It depends on nothing but the messages and the number of
 * tokens, so a test knows the whole answer and sees a lost or doubled token.
 */
package auburnhall.standin.engine

import kotlinx.serialization.json.JsonArray
import kotlinx.serialization.json.JsonObject
import kotlinx.serialization.json.contentOrNull
import kotlinx.serialization.json.jsonObject
import kotlinx.serialization.json.jsonPrimitive

/** Generates reference answers. */
object ReferenceAnswer {
    private const val WORDS = 10_000
    private const val FACTOR = 31

    /** The prompt of [messages] as one text. */
    fun prompt(messages: JsonArray): String =
        messages.joinToString("\n") { m ->
            val o = m.jsonObject
            "${field(o, "role")}: ${field(o, "content")}"
        }

    /** Token number [index] (from 0) of the answer to [prompt], with the space that ends it. */
    fun token(
        prompt: String,
        index: Int,
    ): String = "w${Math.floorMod(prompt.hashCode() * FACTOR + index * FACTOR * FACTOR, WORDS)}n$index "

    /** The first [tokens] tokens of the answer to [prompt]. */
    fun text(
        prompt: String,
        tokens: Int,
    ): String = (0 until tokens).joinToString("") { token(prompt, it) }

    /** Number of tokens in [text], a beginning of an answer. */
    fun countTokens(text: String): Int = text.count { it == ' ' }

    private fun field(
        message: JsonObject,
        name: String,
    ) = message[name]?.jsonPrimitive?.contentOrNull.orEmpty()
}
