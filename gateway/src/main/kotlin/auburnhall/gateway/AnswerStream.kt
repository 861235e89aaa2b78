/*
 * The body of a streamed answer. The server reads it and writes what it got at once, so each read returns as soon as the
 * engine has given the next piece.
 */
package auburnhall.gateway

import auburnhall.core.HttpStatus
import auburnhall.core.Reason
import auburnhall.core.Refusal
import auburnhall.core.RunState
import auburnhall.core.Step
import auburnhall.core.StepError
import java.io.InputStream

/** Reads [session] from its event [first] on as server-sent events. Closed before its end, it cancels the answer. */
internal class AnswerStream(
    private val session: AnswerSession,
    private val trail: RequestTrail,
    private val encoder: ChunkEncoder,
    private val out: ChunkBuffer,
    private val options: Options,
    first: AnswerEvent,
) : InputStream() {
    /** [onEnd] is told once how the answer ended, before the trail ends. */
    class Options(
        val includeUsage: Boolean,
        val onEnd: (AnswerEvent) -> Unit = {},
    )

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
        if (pending != null) fill()
        if (out.isEmpty && !ended) fill()
        return if (out.isEmpty) -1 else out.moveTo(b, off, len)
    }

    override fun close() {
        session.close()
        if (ended) return
        ended = true
        val gone = StepError(Step.STREAM, "caller", "The caller hung up after ${trail.tokens} tokens.")
        val refusal = Refusal(Reason.CALLER_GONE, RunState.MAY_HAVE_RUN, gone)
        trail.refuse(refusal)
        options.onEnd(AnswerEvent.Failed(refusal))
        trail.endRefused()
    }

    private fun fill() {
        val event = pending ?: session.next()
        pending = null
        when (event) {
            is AnswerEvent.Text -> encoder.text(event.text)
            is AnswerEvent.Finished -> finish(event)
            is AnswerEvent.Failed -> fail(event)
        }
    }

    private fun finish(event: AnswerEvent.Finished) {
        ended = true
        encoder.finish(event, options.includeUsage)
        options.onEnd(event)
        trail.end(HttpStatus.OK, RunState.RAN)
    }

    private fun fail(event: AnswerEvent.Failed) {
        ended = true
        encoder.error(event.refusal)
        trail.refuse(event.refusal)
        options.onEnd(event)
        trail.endRefused()
    }

    private companion object {
        const val BYTE_MASK = 0xff
    }
}
