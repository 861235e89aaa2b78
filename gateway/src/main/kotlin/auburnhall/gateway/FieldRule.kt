/*
 * What the fields of a chat completion must be for the system to act on them.
 */
package auburnhall.gateway

import kotlinx.serialization.json.JsonArray
import kotlinx.serialization.json.JsonElement
import kotlinx.serialization.json.JsonObject
import kotlinx.serialization.json.JsonPrimitive
import kotlinx.serialization.json.booleanOrNull

/** A rule about one field of the body. */
internal class FieldRule(
    val field: String,
    val message: String,
    val holds: (JsonElement?) -> Boolean,
) {
    fun check(body: JsonObject): FieldError? = if (holds(body[field])) null else FieldError(field, message)
}

private const val NAME_CHARS = 200
private const val NOT_SUPPORTED = "This field is not supported."

private fun isBoolean(element: JsonElement?) =
    isAbsent(element) || (element as? JsonPrimitive)?.let { !it.isString && it.booleanOrNull != null } ?: false

private fun isPositive(element: JsonElement?) = isAbsent(element) || (number(element) ?: 0) > 0

private fun isMessage(element: JsonElement): Boolean {
    val message = element as? JsonObject ?: return false
    return text(message["role"]) != null && isContent(message["content"])
}

private fun isContent(content: JsonElement?): Boolean =
    isAbsent(content) || text(content) != null || (content as? JsonArray)?.all { it is JsonObject } ?: false

/** Answers are resumed as text, so whatever an answer could hold beside one text is not supported. */
private fun unsupported(field: String) =
    FieldRule(field, NOT_SUPPORTED) {
        isAbsent(it) ||
            !flag(it) &&
            it is JsonPrimitive ||
            (it as? JsonArray)?.isEmpty() == true
    }

/** All rules; the first that does not hold is told to the caller. */
internal val FIELD_RULES =
    listOf(
        FieldRule("model", "It must be the name of a model.") { text(it).orEmpty().length in 1..NAME_CHARS },
        FieldRule("messages", "It must be a list of messages, at least one, each with a role and a content.") {
            it is JsonArray && it.isNotEmpty() && it.all(::isMessage)
        },
        FieldRule("stream", "It must be true or false.", ::isBoolean),
        FieldRule("stream_options", "It must be an object.") { isAbsent(it) || it is JsonObject },
        FieldRule("max_tokens", "It must be a whole number above 0.", ::isPositive),
        FieldRule("max_completion_tokens", "It must be a whole number above 0.", ::isPositive),
        FieldRule("n", "Only 1 is supported.") { isAbsent(it) || number(it) == 1 },
        unsupported("tools"),
        unsupported("functions"),
        unsupported("logprobs"),
        unsupported("continue_final_message"),
    )
