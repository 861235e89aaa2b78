package auburnhall.entry

import auburnhall.core.Address
import auburnhall.core.Scheduler
import auburnhall.core.StoreCallback
import auburnhall.core.StoreError
import auburnhall.http.HttpBody
import auburnhall.http.InboundRequest
import auburnhall.http.ResponseWriter
import auburnhall.http.newHeaders
import com.github.michaelbull.result.Err
import io.netty.buffer.ByteBuf
import io.netty.handler.codec.http.HttpHeaders
import io.netty.handler.codec.http.HttpMethod

/** Polls [server], the relay server of [peer], over a simulated connection with a latency of one millisecond. */
internal class InProcessSource(
    override val peer: String,
    private val server: RelayServer?,
    private val scheduler: Scheduler,
    /** Gets the length of each response in bytes. */
    private val onBytes: (Int) -> Unit = {},
    /** Whether messages in both directions arrive. */
    private val reachable: () -> Boolean,
) : ChangeSource {
    override fun changes(
        poll: RelayPoll,
        done: StoreCallback<ChangeBatch>,
    ) {
        var completed = false
        val request = InboundRequest(HttpMethod.GET, poll.uri, newHeaders(), HttpBody.EMPTY, 0)
        val response =
            RecordingResponse { status, body ->
                scheduler.after(1) {
                    if (!completed && reachable()) {
                        completed = true
                        onBytes(body.size)
                        done(PeerChangeSource.read(ADDRESS, status, body))
                    }
                }
            }
        scheduler.after(poll.waitMs + PeerChangeSource.RESPONSE_MARGIN_MS) {
            if (!completed) {
                completed = true
                done(Err(StoreError.NoAnswer(ADDRESS, "silent")))
            }
        }
        scheduler.after(1) { if (reachable()) server?.onRequest(request, response) }
    }

    private class RecordingResponse(
        private val onSent: (Int, ByteArray) -> Unit,
    ) : ResponseWriter {
        override var onDisconnect: (() -> Unit)? = null
        override var onWritabilityChange: (() -> Unit)? = null
        override val writable = true

        override fun send(
            status: Int,
            headers: HttpHeaders,
            body: ByteArray,
            onReleased: () -> Unit,
        ) = onSent(status, body)

        override fun start(
            status: Int,
            headers: HttpHeaders,
        ) = Unit

        override fun write(content: ByteBuf) = Unit

        override fun finish() = Unit

        override fun abort() = Unit
    }

    private companion object {
        val ADDRESS = Address("127.0.0.1", 1)
    }
}
