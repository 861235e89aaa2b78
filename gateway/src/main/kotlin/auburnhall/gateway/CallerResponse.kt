/*
 * What the caller of one request has got so far, and how its answer ends.
 */
package auburnhall.gateway

import auburnhall.core.Clock
import auburnhall.http.ResponseWriter
import io.netty.buffer.Unpooled
import io.netty.handler.codec.http.HttpHeaders

/** The answer to one request. Traffic thread only. */
class CallerResponse(
    private val clock: Clock,
    private val response: ResponseWriter,
    private val codec: CallerCodec,
    private val accepted: AcceptedRequest,
) {
    private var lastWriteAt = 0L

    /** Whether the caller has the head of a stream. */
    var streaming = false
        private set

    /** The id of the last event that was passed on; null before the first. */
    var lastEventId: Long? = null
        private set

    /** When the first event was passed on; null before it. */
    var firstEventAt: Long? = null
        private set

    /** Longest time, in milliseconds, between two events. */
    var longestPauseMs = 0L
        private set

    /** Begins a stream. */
    fun startStream(headers: HttpHeaders) {
        if (streaming) return
        streaming = true
        response.start(OK, headers)
    }

    /** Passes [event] on, unless the caller has it already. */
    fun pass(event: StreamEvent) {
        val last = lastEventId
        if (event.id != null && last != null && event.id <= last) return
        notePause()
        lastEventId = event.id ?: last
        response.write(Unpooled.wrappedBuffer(event.bytes))
    }

    /** Ends a stream after [remainder]. */
    fun finishStream(remainder: ByteArray) {
        if (remainder.isNotEmpty()) response.write(Unpooled.wrappedBuffer(remainder))
        response.finish()
    }

    /** Passes a whole answer of a worker on. */
    fun deliver(
        status: Int,
        headers: HttpHeaders,
        body: ByteArray,
    ) = response.send(status, headers, body)

    /** Says that the request did not run and never will; the caller may come back after [retryAfterMs]. */
    fun refuse(retryAfterMs: Long?) =
        response.send(UNAVAILABLE, codec.refusalHeaders(accepted.metadata.id, retryAfterMs), ByteArray(0))

    /** Ends the answer to a request that may have run, with [status] where the caller has nothing yet. */
    fun fail(status: Int) {
        if (streaming) {
            response.abort()
        } else {
            response.send(status, codec.refusalHeaders(accepted.metadata.id, null), ByteArray(0))
        }
    }

    private fun notePause() {
        val now = clock.nowMs()
        if (firstEventAt == null) firstEventAt = now else longestPauseMs = maxOf(longestPauseMs, now - lastWriteAt)
        lastWriteAt = now
    }

    private companion object {
        const val OK = 200
    }
}
