/*
 * The response to the caller of one request: what has been sent so far, and how it ends.
 */
package auburnhall.gateway

import auburnhall.core.Clock
import auburnhall.http.ResponseWriter
import io.netty.buffer.Unpooled
import io.netty.handler.codec.http.HttpHeaders

/** The response to one request. Traffic thread only. */
class CallerResponse(
    private val clock: Clock,
    private val response: ResponseWriter,
    private val codec: CallerCodec,
    private val accepted: AcceptedRequest,
) {
    private var lastSentAtMs = 0L

    /** Whether the head of a stream was sent to the caller. */
    var streaming = false
        private set

    /** Id of the last event that was sent to the caller; null before the first. */
    var lastEventId: Long? = null
        private set

    /** Whether another run can go on after the last event that was sent: it has an id, or there is none yet. */
    var continuable = true
        private set

    /** When the first event was sent to the caller, in milliseconds of the monotonic clock; null before it. */
    var firstEventAtMs: Long? = null
        private set

    /** Longest time, in milliseconds, between two events. */
    var longestPauseMs = 0L
        private set

    /** Sends the head of a stream unless it was sent before. */
    fun startStream(headers: HttpHeaders) {
        if (streaming) return
        streaming = true
        accepted.passOn?.state(Execution.Relayed, headers)
        response.start(OK, headers)
    }

    /** Sends [event] to the caller, unless its id shows that it was sent before. */
    fun relay(event: StreamEvent) {
        val last = lastEventId
        if (event.id != null && last != null && event.id <= last) return
        recordPause()
        lastEventId = event.id ?: last
        if (!event.isComment) continuable = event.id != null
        response.write(Unpooled.wrappedBuffer(event.bytes))
    }

    /** Sends [remainder], what follows the last event of a stream. */
    fun relayRemainder(remainder: ByteArray) {
        if (remainder.isNotEmpty()) response.write(Unpooled.wrappedBuffer(remainder))
    }

    /** Ends the stream as complete. */
    fun finishStream() = response.finish()

    /** Whether the caller keeps up with what is sent. */
    val writable: Boolean get() = response.writable

    /** Sends a worker's complete response that is not a stream; [onReleased] is called when its bytes are not held. */
    fun sendComplete(
        status: Int,
        headers: HttpHeaders,
        body: ByteArray,
        onReleased: () -> Unit,
    ) {
        accepted.passOn?.state(Execution.Relayed, headers)
        response.send(status, headers, body, onReleased)
    }

    /**
     * Responds with status 503: the request was not executed and will not be. The caller may retry after [retryAfterMs]
     * milliseconds; null states no time.
     */
    fun refuse(retryAfterMs: Long?) = sendOwn(UNAVAILABLE, Execution.NotExecuted, retryAfterMs)

    /** Ends the response to a request that may have been executed: with [status], or by aborting a started stream. */
    fun fail(status: Int) = if (streaming) response.abort() else sendOwn(status, Execution.Uncertain, null)

    private fun sendOwn(
        status: Int,
        execution: Execution,
        retryAfterMs: Long?,
    ) {
        val headers = codec.refusalHeaders(accepted.metadata.id, retryAfterMs)
        accepted.passOn?.state(execution, headers)
        response.send(status, headers, ByteArray(0))
    }

    private fun recordPause() {
        val now = clock.nowMs()
        if (firstEventAtMs == null) firstEventAtMs = now else longestPauseMs = maxOf(longestPauseMs, now - lastSentAtMs)
        lastSentAtMs = now
    }

    private companion object {
        const val OK = 200
    }
}
