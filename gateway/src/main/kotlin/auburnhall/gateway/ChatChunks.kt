/*
 * The format of answers: server-sent events for streamed ones, one JSON object for the others. The parts of a chunk
 * that stay the same for a request are encoded once.
 */
package auburnhall.gateway

import auburnhall.core.Refusal
import auburnhall.core.RequestId
import kotlinx.serialization.SerialName
import kotlinx.serialization.Serializable
import kotlinx.serialization.json.Json
import kotlinx.serialization.json.JsonPrimitive

/** Bytes waiting to be read; the space is used again. Used by one thread. */
internal class ChunkBuffer {
    private var bytes = ByteArray(INITIAL_BYTES)
    private var from = 0
    private var to = 0

    /** Whether there is nothing to read. */
    val isEmpty: Boolean get() = from == to

    /** Appends [piece]. */
    fun append(piece: ByteArray) {
        if (isEmpty) clear()
        if (to + piece.size > bytes.size) bytes = bytes.copyOf(maxOf(bytes.size * 2, to + piece.size))
        piece.copyInto(bytes, to)
        to += piece.size
    }

    /** Moves up to [length] bytes to [target] at [offset]; returns how many. */
    fun moveTo(
        target: ByteArray,
        offset: Int,
        length: Int,
    ): Int {
        val n = minOf(length, to - from)
        bytes.copyInto(target, offset, from, from + n)
        from += n
        return n
    }

    /** Takes everything that is left. */
    fun takeAll(): ByteArray = bytes.copyOfRange(from, to).also { clear() }

    private fun clear() {
        from = 0
        to = 0
    }

    private companion object {
        const val INITIAL_BYTES = 512
    }
}

/** Encodes the chunks of one streamed answer into [out]. */
internal class ChunkEncoder(
    private val head: AnswerHead,
    private val out: ChunkBuffer,
) {
    private val common = """{"id":"${head.id}","object":"chat.completion.chunk","created":${head.created},"model":${quoted(
        head.model,
    )},"""
    private val prefix = "data: $common\"choices\":[{\"index\":0,\"delta\":{\"content\":".toByteArray()

    /** The first chunk, which names the role. */
    fun role() =
        data("""$common"choices":[{"index":0,"delta":{"role":"assistant","content":""},"finish_reason":null}]}""")

    /** A chunk with more text. */
    fun text(text: String) {
        out.append(prefix)
        out.append(quoted(text).toByteArray())
        out.append(TEXT_SUFFIX)
    }

    /** The last chunk of a whole answer and the end mark. */
    fun finish(
        event: AnswerEvent.Finished,
        withUsage: Boolean,
    ) {
        val reason = quoted(event.finishReason)
        data("""$common"choices":[{"index":0,"delta":{},"finish_reason":$reason}]}""")
        if (withUsage) data("""$common"choices":[],"usage":${usageJson(event)}}""")
        out.append(DONE)
    }

    /** The explicit end of an answer that is not whole. No end mark follows. */
    fun error(refusal: Refusal) = data(refusal.toJson(head.requestId))

    private fun data(json: String) = out.append("data: $json\n\n".toByteArray())

    private companion object {
        const val ROLE_CHOICE =
            """"choices":[{"index":0,"delta":{"role":"assistant","content":""},"finish_reason":null}]}"""
        val TEXT_SUFFIX = "},\"finish_reason\":null}]}\n\n".toByteArray()
        val DONE = "data: [DONE]\n\n".toByteArray()
    }
}

/** The streamed form of the whole answer [text], as given to a retry. */
internal fun wholeStream(
    head: AnswerHead,
    text: String,
    event: AnswerEvent.Finished,
    withUsage: Boolean,
): ByteArray {
    val out = ChunkBuffer()
    val encoder = ChunkEncoder(head, out)
    encoder.role()
    encoder.text(text)
    encoder.finish(event, withUsage)
    return out.takeAll()
}

/** What stays the same over all chunks of an answer. [created] is in seconds since 1970. */
internal data class AnswerHead(
    val requestId: RequestId,
    val created: Long,
    val model: String,
) {
    /** The id of the completion. */
    val id: String get() = "chatcmpl-${requestId.value}"
}

/** An unstreamed answer. */
@Serializable
internal data class Completion(
    val id: String,
    val `object`: String,
    val created: Long,
    val model: String,
    val choices: List<CompletionChoice>,
    val usage: Usage,
)

/** The only choice of an answer. */
@Serializable
internal data class CompletionChoice(
    val index: Int,
    val message: CompletionMessage,
    @SerialName("finish_reason") val finishReason: String,
)

/** The message that is the answer. */
@Serializable
internal data class CompletionMessage(
    val role: String,
    val content: String,
)

/** Token counts of an answer. */
@Serializable
internal data class Usage(
    @SerialName("prompt_tokens") val promptTokens: Int,
    @SerialName("completion_tokens") val completionTokens: Int,
    @SerialName("total_tokens") val totalTokens: Int,
)

/** The unstreamed form of the answer [text]. */
internal fun completionJson(
    head: AnswerHead,
    text: String,
    event: AnswerEvent.Finished,
): String {
    val choice = CompletionChoice(0, CompletionMessage("assistant", text), event.finishReason)
    val completion = Completion(head.id, "chat.completion", head.created, head.model, listOf(choice), usageOf(event))
    return Json.encodeToString(Completion.serializer(), completion)
}

private fun usageOf(event: AnswerEvent.Finished) =
    Usage(event.promptTokens, event.generatedTokens, event.promptTokens + event.generatedTokens)

private fun usageJson(event: AnswerEvent.Finished) = Json.encodeToString(Usage.serializer(), usageOf(event))

private fun quoted(text: String): String = JsonPrimitive(text).toString()
