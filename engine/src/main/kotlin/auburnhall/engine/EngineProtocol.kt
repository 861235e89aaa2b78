/*
 * The wire format towards engines: the chat completions protocol with the extensions that common engines offer
 * (`priority`, `continue_final_message`), and the paths for status and orders.
 */
package auburnhall.engine

import kotlinx.serialization.SerialName
import kotlinx.serialization.Serializable
import kotlinx.serialization.json.Json
import kotlinx.serialization.json.JsonArray
import kotlinx.serialization.json.JsonElement
import kotlinx.serialization.json.JsonObject
import kotlinx.serialization.json.JsonPrimitive
import kotlinx.serialization.json.buildJsonObject
import kotlinx.serialization.json.intOrNull
import kotlinx.serialization.json.jsonPrimitive
import kotlinx.serialization.json.put

/** Paths, headers and message types of the engine protocol. */
object EngineProtocol {
    const val CHAT_PATH = "/v1/chat/completions"
    const val STATUS_PATH = "/v1/engine/status"
    const val ORDERS_PATH = "/v1/engine/orders"

    /** Header that names the replica a request is meant for. */
    const val REPLICA_HEADER = "X-Auburnhall-Replica"

    /** Header with the fencing number a request is sent under. */
    const val GENERATION_HEADER = "X-Auburnhall-Generation"

    /** Header with the request's id. */
    const val REQUEST_ID_HEADER = "X-Request-Id"

    /** JSON as both sides read it: unknown fields are ignored. */
    val json =
        Json {
            ignoreUnknownKeys = true
            encodeDefaults = true
            explicitNulls = false
        }

    /** The body sent to the engine for [call]: always streamed, with usage, and continuing [ChatCall.resumeText]. */
    fun requestBody(call: ChatCall): JsonObject {
        val resume = call.resumeText
        return buildJsonObject {
            call.body.forEach { (name, value) -> put(name, value) }
            put("stream", true)
            put("stream_options", buildJsonObject { put("include_usage", true) })
            put("priority", call.priority)
            if (resume != null) {
                put("messages", withAssistant(call.body["messages"], resume))
                put("continue_final_message", true)
                put("add_generation_prompt", false)
                remainingTokens(call)?.let { put("max_tokens", it) }
            }
        }
    }

    private fun remainingTokens(call: ChatCall): Int? {
        val asked = call.body["max_tokens"]?.jsonPrimitive?.intOrNull
        return asked?.let { (it - call.resumeTokens).coerceAtLeast(1) }
    }

    private fun withAssistant(
        messages: JsonElement?,
        text: String,
    ): JsonArray {
        val before = (messages as? JsonArray).orEmpty()
        val partial =
            buildJsonObject {
                put("role", "assistant")
                put("content", JsonPrimitive(text))
            }
        return JsonArray(before + partial)
    }
}

/** One chunk of a streamed chat completion. */
@Serializable
data class ChatChunk(
    val choices: List<ChunkChoice> = emptyList(),
    val usage: ChunkUsage? = null,
    val error: ChunkError? = null,
)

/** The only choice of a chunk. */
@Serializable
data class ChunkChoice(
    val delta: ChunkDelta = ChunkDelta(),
    @SerialName("finish_reason") val finishReason: String? = null,
)

/** New text of a chunk. */
@Serializable
data class ChunkDelta(
    val content: String? = null,
)

/** Token counts of a finished answer. */
@Serializable
data class ChunkUsage(
    @SerialName("prompt_tokens") val promptTokens: Int = 0,
    @SerialName("completion_tokens") val completionTokens: Int = 0,
)

/** An error inside a stream. */
@Serializable
data class ChunkError(
    val message: String = "",
)

/** Answer to an order that a newer generation has overtaken. */
@Serializable
data class FencedAnswer(
    val current: Long,
)
