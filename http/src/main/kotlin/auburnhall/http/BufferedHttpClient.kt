/*
 * Calls whose whole response is wanted at once, such as those to the store.
 */
package auburnhall.http

import auburnhall.core.Address
import auburnhall.core.Scheduler
import io.netty.buffer.ByteBuf
import io.netty.handler.codec.http.HttpHeaders
import java.io.ByteArrayOutputStream

/** The outcome of a short call. */
sealed interface BufferedResult {
    /** A whole response. */
    data class Completed(
        val status: Int,
        val body: ByteArray,
    ) : BufferedResult

    /** No response, or part of one. The request may have had its effect where [sent]. */
    data class Failed(
        val peer: Address,
        val cause: String,
        val sent: Boolean,
    ) : BufferedResult
}

/** Makes calls that end by a deadline. */
class BufferedHttpClient(
    private val client: HttpClient,
    private val scheduler: Scheduler,
) {
    /** Sends [request] to [peer]; [done] hears the outcome after at most [timeoutMs] milliseconds. */
    fun call(
        peer: Address,
        request: OutboundRequest,
        timeoutMs: Long,
        done: (BufferedResult) -> Unit,
    ): OutboundCall {
        val collector = Collector(peer, done)
        val options = CallOptions(timeoutMs.toInt(), MAX_IDLE_MS)
        val call = client.send(peer, request, options, collector)
        collector.timeout =
            scheduler.after(timeoutMs) {
                call.cancel()
                collector.finish(BufferedResult.Failed(peer, "no response within $timeoutMs ms", sent = true))
            }
        if (collector.finished) collector.timeout?.cancel()
        return call
    }

    private class Collector(
        private val peer: Address,
        private val done: (BufferedResult) -> Unit,
    ) : ResponseListener {
        var timeout: auburnhall.core.ScheduledTask? = null
        var finished = false
        private var status = 0
        private val body = ByteArrayOutputStream()

        override fun onHead(
            status: Int,
            headers: HttpHeaders,
        ) {
            this.status = status
        }

        override fun onContent(content: ByteBuf) {
            content.readBytes(body, content.readableBytes())
        }

        override fun onEnd() = finish(BufferedResult.Completed(status, body.toByteArray()))

        override fun onFailure(failure: CallFailure) = finish(BufferedResult.Failed(peer, failure.cause, failure.sent))

        fun finish(result: BufferedResult) {
            if (finished) return
            finished = true
            timeout?.cancel()
            done(result)
        }
    }

    private companion object {
        const val MAX_IDLE_MS = 20_000L
    }
}
