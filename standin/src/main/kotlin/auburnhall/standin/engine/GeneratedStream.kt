/*
 * The body of a streamed answer, generated token by token while it is read.
 */
package auburnhall.standin.engine

import kotlinx.serialization.json.JsonPrimitive
import java.io.IOException
import java.io.InputStream
import java.util.concurrent.locks.LockSupport

/** Where and how fast an answer is generated. */
internal data class Generation(
    val prompt: String,
    val firstToken: Int,
    val tokens: Int,
    val promptTokens: Int,
    val prefillMillis: Long,
    val tokenMillis: Long,
)

/**
 * Server-sent events of one answer.
 *
 * @property mayContinue asked before every token; the stream breaks when it returns false.
 * @property onClose called once when the caller has read all or hung up.
 */
internal class GeneratedStream(
    private val generation: Generation,
    private val mayContinue: () -> Boolean,
    private val slowdown: () -> Int,
    private val onClose: (generated: Int) -> Unit,
) : InputStream() {
    private var buffer = ByteArray(0)
    private var position = 0
    private var generated = 0
    private var finished = false
    private var closed = false
    private var nextAt = System.nanoTime() + generation.prefillMillis * NANOS_PER_MILLI

    override fun read(): Int {
        val one = ByteArray(1)
        return if (read(one, 0, 1) < 0) -1 else one[0].toInt() and BYTE_MASK
    }

    override fun read(
        target: ByteArray,
        offset: Int,
        length: Int,
    ): Int {
        if (position == buffer.size && !refill()) return -1
        val n = minOf(length, buffer.size - position)
        buffer.copyInto(target, offset, position, position + n)
        position += n
        return n
    }

    override fun close() {
        if (closed) return
        closed = true
        onClose(generated)
    }

    private fun refill(): Boolean {
        if (finished) return false
        buffer = if (generated < generation.tokens) nextToken() else lastEvents()
        position = 0
        return true
    }

    private fun nextToken(): ByteArray {
        awaitTurn()
        if (!mayContinue()) throw IOException("the replica lost a member")
        val text = ReferenceAnswer.token(generation.prompt, generation.firstToken + generated)
        generated += 1
        return event("""{"choices":[{"index":0,"delta":{"content":${JsonPrimitive(text)}},"finish_reason":null}]}""")
    }

    private fun lastEvents(): ByteArray {
        finished = true
        val usage =
            """{"prompt_tokens":${generation.promptTokens},"completion_tokens":$generated,""" +
                """"total_tokens":${generation.promptTokens + generated}}"""
        return event("""{"choices":[{"index":0,"delta":{},"finish_reason":"stop"}]}""") +
            event("""{"choices":[],"usage":$usage}""") +
            event("[DONE]")
    }

    private fun event(data: String): ByteArray = "data: $data\n\n".encodeToByteArray()

    private fun awaitTurn() {
        while (true) {
            val left = nextAt - System.nanoTime()
            if (left <= 0) break
            LockSupport.parkNanos(left)
        }
        nextAt = System.nanoTime() + generation.tokenMillis * slowdown() * NANOS_PER_MILLI
    }

    private companion object {
        const val NANOS_PER_MILLI = 1_000_000L
        const val BYTE_MASK = 0xff
    }
}
