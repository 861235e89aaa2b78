/*
 * HTTP calls with a timeout, whose response is buffered up to a limit and returned as a whole, such as those to the
 * store.
 */
package auburnhall.http

import auburnhall.core.Address
import auburnhall.core.Scheduler
import io.netty.buffer.ByteBuf
import io.netty.handler.codec.http.HttpHeaders
import java.io.ByteArrayOutputStream

/** Result of a buffered call. */
sealed interface BufferedResult {
    /** A complete response was received. */
    data class Completed(
        val status: Int,
        val headers: HttpHeaders,
        val body: ByteArray,
    ) : BufferedResult

    /** No complete response was received. If [sent], the request may have taken effect nevertheless. */
    data class Failed(
        val peer: Address,
        val cause: String,
        val sent: Boolean,
        /** Whether the response was longer than the caller of [BufferedHttpClient] takes. */
        val tooLong: Boolean = false,
        /** Whether the peer, or its machine, closed or refused the connection. */
        val closedByPeer: Boolean = false,
    ) : BufferedResult
}

/** Makes calls that end within a timeout, on connections of their own unless they are [pooled]. */
class BufferedHttpClient(
    private val client: HttpClient,
    private val scheduler: Scheduler,
    private val pooled: Boolean = true,
) {
    /** Makes calls on connections of their own, on which no response to another call can be late. */
    val unpooled: BufferedHttpClient get() = BufferedHttpClient(client, scheduler, pooled = false)

    /**
     * Sends [request] to [peer]; [done] gets the result after at most [timeoutMs] milliseconds. The call fails when the
     * body of the response has more than [maxBodyBytes] bytes.
     */
    fun call(
        peer: Address,
        request: OutboundRequest,
        timeoutMs: Long,
        maxBodyBytes: Int = MAX_BODY_BYTES,
        done: (BufferedResult) -> Unit,
    ): OutboundCall {
        val collector = ResponseCollector(peer, maxBodyBytes, done)
        val options = CallOptions(timeoutMs.toInt(), MAX_CONNECTION_IDLE_MS, pooled)
        val call = client.send(peer, request, options, collector)
        collector.call = call
        collector.timeoutTask =
            scheduler.after(timeoutMs) {
                call.cancel()
                collector.finish(BufferedResult.Failed(peer, "no response within $timeoutMs ms", sent = true))
            }
        if (collector.finished) collector.timeoutTask?.cancel()
        return call
    }

    private class ResponseCollector(
        private val peer: Address,
        private val maxBodyBytes: Int,
        private val done: (BufferedResult) -> Unit,
    ) : ResponseListener {
        var call: OutboundCall? = null
        var timeoutTask: auburnhall.core.ScheduledTask? = null
        var finished = false
        private var status = 0
        private lateinit var headers: HttpHeaders
        private val body = ByteArrayOutputStream()

        override fun onHead(
            status: Int,
            headers: HttpHeaders,
            framing: Framing,
        ) {
            this.status = status
            this.headers = headers
        }

        override fun onContent(content: ByteBuf) {
            if (body.size() + content.readableBytes() > maxBodyBytes) {
                call?.cancel()
                val cause = "response of more than $maxBodyBytes bytes"
                finish(BufferedResult.Failed(peer, cause, sent = true, tooLong = true))
            } else {
                content.readBytes(body, content.readableBytes())
            }
        }

        override fun onEnd() = finish(BufferedResult.Completed(status, headers, body.toByteArray()))

        override fun onFailure(failure: CallFailure) =
            finish(BufferedResult.Failed(peer, failure.cause, failure.sent, closedByPeer = failure.closedByPeer))

        fun finish(result: BufferedResult) {
            if (finished) return
            finished = true
            timeoutTask?.cancel()
            done(result)
        }
    }

    private companion object {
        /** Several times the longest page of the store, as its text encoding. */
        const val MAX_BODY_BYTES = 4_194_304

        const val MAX_CONNECTION_IDLE_MS = 20_000L
    }
}
