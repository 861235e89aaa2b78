/*
 * Reads the body of a chat completion. Fields that the system itself acts on are checked here; all others are passed on
 * to the engine as they are.
 */
package auburnhall.gateway

import auburnhall.core.PromptPrefix
import com.github.michaelbull.result.Err
import com.github.michaelbull.result.Ok
import com.github.michaelbull.result.Result
import com.github.michaelbull.result.getOr
import kotlinx.serialization.SerializationException
import kotlinx.serialization.json.Json
import kotlinx.serialization.json.JsonArray
import kotlinx.serialization.json.JsonElement
import kotlinx.serialization.json.JsonObject
import kotlinx.serialization.json.JsonPrimitive
import kotlinx.serialization.json.contentOrNull
import java.nio.ByteBuffer
import java.nio.charset.CharacterCodingException

/**
 * A chat completion as asked for.
 *
 * @property body the whole request object.
 * @property maxTokens most tokens of the answer; null when the caller named no limit.
 * @property includeUsage whether a streamed answer ends with a chunk that counts tokens.
 * @property prefixes hashes of the prompt's prefixes.
 */
internal data class ChatRequest(
    val body: JsonObject,
    val model: String,
    val stream: Boolean,
    val maxTokens: Int?,
    val includeUsage: Boolean,
    val prefixes: List<Int>,
)

/** Why a request body is not valid. [param] names the field at fault; null for the whole body. */
internal data class FieldError(
    val param: String?,
    val message: String,
)

private const val MAX_DEPTH = 100

/** Reads [bytes] as a [ChatRequest]. */
internal fun parseChatRequest(bytes: ByteArray): Result<ChatRequest, FieldError> {
    val body = parseObject(bytes) ?: return Err(FieldError(null, "The body is not a JSON object in UTF-8."))
    val fault = FIELD_RULES.firstNotNullOfOrNull { it.check(body) }
    return if (fault == null) Ok(chatRequest(body)) else Err(fault)
}

private fun chatRequest(body: JsonObject): ChatRequest {
    val options = body["stream_options"] as? JsonObject
    return ChatRequest(
        withOneLimit(body),
        text(body["model"]).orEmpty(),
        flag(body["stream"]),
        maxTokens(body),
        flag(options?.get("include_usage")),
        PromptPrefix.hashes(promptOf(body["messages"] as JsonArray)),
    )
}

/** Names the limit `max_tokens` only, which is what is lowered when an answer is resumed. */
private fun withOneLimit(body: JsonObject): JsonObject {
    val limit = maxTokens(body) ?: return body
    return JsonObject(body - "max_completion_tokens" + ("max_tokens" to JsonPrimitive(limit)))
}

private fun parseObject(bytes: ByteArray): JsonObject? {
    val text = decode(bytes).getOr(null)
    if (text == null || isTooDeep(text)) return null
    return try {
        Json.parseToJsonElement(text) as? JsonObject
    } catch (_: SerializationException) {
        null
    }
}

private fun decode(bytes: ByteArray): Result<String?, Unit> =
    try {
        Ok(
            Charsets.UTF_8
                .newDecoder()
                .decode(ByteBuffer.wrap(bytes))
                .toString(),
        )
    } catch (_: CharacterCodingException) {
        Err(Unit)
    }

/** Whether objects and lists are nested so deeply that reading them would exhaust a thread's stack. */
private fun isTooDeep(text: String): Boolean {
    var depth = 0
    var quoted = false
    var escaped = false
    for (c in text) {
        when {
            escaped -> escaped = false
            c == '\\' -> escaped = quoted
            c == '"' -> quoted = !quoted
            quoted -> Unit
            c == '{' || c == '[' -> depth += 1
            c == '}' || c == ']' -> depth -= 1
        }
        if (depth > MAX_DEPTH) return true
    }
    return false
}

/** The prompt as far as prefixes are concerned: roles and texts in order. */
private fun promptOf(messages: JsonArray): String =
    buildString {
        for (m in messages) {
            val message = m as JsonObject
            append(text(message["role"])).append('\n')
            appendContent(message["content"])
            append('\n')
            if (length > PromptPrefix.BLOCK_CHARS * PromptPrefix.MAX_BLOCKS) return@buildString
        }
    }

private fun StringBuilder.appendContent(content: JsonElement?) {
    when (content) {
        is JsonPrimitive -> append(content.contentOrNull.orEmpty())
        is JsonArray -> content.forEach { append(text((it as? JsonObject)?.get("text")).orEmpty()) }
        else -> Unit
    }
}

private fun maxTokens(body: JsonObject): Int? = number(body["max_completion_tokens"]) ?: number(body["max_tokens"])
