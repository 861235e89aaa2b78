/*
 * The body of a streamed answer. The server reads it and writes what it got at once, so each read returns as soon as
 * the engine has given the next piece.
 */
package auburnhall.gateway

import java.io.InputStream

/** Reads [answer] from its event [first] on as server-sent events. Closed before its end, it tells [answer] so. */
internal class AnswerStream(
    private val answer: ChatAnswer,
    head: AnswerHead,
    first: AnswerEvent,
) : InputStream() {
    private val out = ChunkBuffer()
    private val encoder = ChunkEncoder(head, out)
    private var pending: AnswerEvent? = first
    private var ended = false

    init {
        encoder.role()
    }

    override fun read(): Int {
        val one = ByteArray(1)
        return if (read(one, 0, 1) < 0) -1 else one[0].toInt() and BYTE_MASK
    }

    override fun read(
        b: ByteArray,
        off: Int,
        len: Int,
    ): Int {
        if (len == 0) return 0
        if (!ended && (pending != null || out.isEmpty)) fill()
        return if (out.isEmpty) -1 else out.moveTo(b, off, len)
    }

    override fun close() {
        if (ended) return
        ended = true
        val event = pending
        pending = null
        if (event is AnswerEvent.Finished) answer.finish(event, encoder) else answer.hangUp()
    }

    private fun fill() {
        val event = pending ?: answer.next()
        pending = null
        when (event) {
            is AnswerEvent.Text -> encoder.text(event.text)
            is AnswerEvent.Finished -> end { answer.finish(event, encoder) }
            is AnswerEvent.Failed -> end { answer.fail(event, encoder) }
        }
    }

    private fun end(write: () -> Unit) {
        ended = true
        write()
    }

    private companion object {
        const val BYTE_MASK = 0xff
    }
}
