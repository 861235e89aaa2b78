/*
 * A streamed chat completion, read as server-sent events.
 */
package auburnhall.engine

import auburnhall.core.Clock
import auburnhall.core.Deadline
import auburnhall.core.HttpStatus
import auburnhall.core.Step
import auburnhall.core.StepError
import kotlinx.serialization.SerializationException
import org.eclipse.jetty.client.Request
import org.eclipse.jetty.client.Response

internal class SseChatStream(
    private val address: String,
    private val clock: Clock,
) : ChatStream {
    private val lines = ResponseLines()
    private var finishReason: String? = null
    private var usage = ChunkUsage()
    private var ended = false

    /** Receives the response on Jetty's threads. */
    val listener: Response.Listener get() = lines.listener

    /** The request to abort when this stream is closed. */
    var request: Request? = null

    /** Waits until monotonic time [untilMillis] for the status line. */
    fun awaitHeaders(untilMillis: Long): ChatResult =
        when (val first = lines.take(untilMillis - clock.monotonicMillis())) {
            is ResponseItem.Headers -> opened(first.status, untilMillis)
            is ResponseItem.End -> ChatResult.Failed(error(Step.DISPATCH, first.describe()))
            else -> {
                close()
                ChatResult.Failed(error(Step.DISPATCH, "no answer to the request"))
            }
        }

    override fun next(deadline: Deadline): ChatEvent {
        check(!ended) { "the stream has ended" }
        while (true) {
            val event =
                when (val item = lines.take(deadline.remainingMillis(clock.monotonicMillis()))) {
                    null -> ChatEvent.Silent
                    is ResponseItem.Line -> onLine(item.text)
                    is ResponseItem.End -> ended(item.describe())
                    is ResponseItem.Headers -> null
                }
            if (event != null) return event
        }
    }

    override fun close() {
        request?.abort(CancelledException("cancelled by the entry process"))
    }

    private fun opened(
        status: Int,
        untilMillis: Long,
    ): ChatResult {
        if (status == HttpStatus.OK) return ChatResult.Streaming(this)
        val error = error(Step.DISPATCH, "status $status: ${lines.rest(untilMillis - clock.monotonicMillis())}")
        val refused =
            status in HttpStatus.BAD_REQUEST until HttpStatus.INTERNAL_ERROR || status == HttpStatus.UNAVAILABLE
        return if (refused) ChatResult.Refused(status, error) else ChatResult.Failed(error)
    }

    private fun onLine(line: String): ChatEvent? =
        when {
            !line.startsWith(DATA_PREFIX) -> null
            line.regionMatches(DATA_PREFIX.length, DONE, 0, DONE.length) -> finished()
            else -> decode(line.substring(DATA_PREFIX.length))
        }

    private fun decode(data: String): ChatEvent? =
        try {
            onChunk(EngineProtocol.json.decodeFromString(ChatChunk.serializer(), data))
        } catch (e: SerializationException) {
            ended("chunk cannot be read: ${e.message}")
        }

    private fun onChunk(chunk: ChatChunk): ChatEvent? {
        chunk.usage?.let { usage = it }
        val choice = chunk.choices.firstOrNull()
        choice?.finishReason?.let { finishReason = it }
        val content = choice?.delta?.content
        return when {
            chunk.error != null -> ended("error in the stream: ${chunk.error.message}")
            content.isNullOrEmpty() -> null
            else -> ChatEvent.Text(content, 1)
        }
    }

    private fun finished(): ChatEvent {
        val reason = finishReason ?: return ended("the stream ended without a finish reason")
        ended = true
        return ChatEvent.Finished(reason, usage.promptTokens, usage.completionTokens)
    }

    private fun ended(message: String): ChatEvent {
        ended = true
        close()
        return ChatEvent.Broken(error(Step.STREAM, message))
    }

    private fun error(
        step: Step,
        message: String,
    ) = StepError(step, address, message)

    private companion object {
        const val DATA_PREFIX = "data: "
        const val DONE = "[DONE]"
    }
}

/** Marks a request that this process gave up itself. */
internal class CancelledException(
    message: String,
) : Exception(message)
