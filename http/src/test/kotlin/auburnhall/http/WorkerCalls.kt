/*
 * Calls over a client to a worker on loopback that responds with the exact bytes that a test gives.
 */
package auburnhall.http

import auburnhall.core.Address
import auburnhall.core.Clock
import io.netty.buffer.ByteBuf
import io.netty.handler.codec.http.HttpHeaders
import io.netty.handler.codec.http.HttpMethod
import java.io.ByteArrayOutputStream
import java.net.InetAddress
import java.net.ServerSocket
import java.net.Socket
import java.util.concurrent.CompletableFuture
import java.util.concurrent.CopyOnWriteArrayList
import java.util.concurrent.TimeUnit
import kotlin.concurrent.thread

/** Result of a call: its status and body, and the cause if it failed. */
data class Outcome(
    val status: Int,
    val body: String,
    val failure: String? = null,
)

/** A client and a worker; [timeoutMs] is the longest time for a call. */
class WorkerCalls(
    private val timeoutMs: Int,
) : AutoCloseable {
    /** Kinds of the bytes that the worker sent beside its responses. */
    val strays = CopyOnWriteArrayList<StrayKind>()
    private val loop = newEventLoop("client")
    private val client = HttpClient(loop, Clock.SYSTEM).also { it.onStrayBytes = { stray -> strays.add(stray.kind) } }
    private val listener = ServerSocket(0, BACKLOG, InetAddress.getLoopbackAddress())
    private val address = Address("127.0.0.1", listener.localPort)

    override fun close() {
        listener.close()
        loop.shutdownGracefully()
    }

    /** Sends a request with [id]; a call that takes too long has a failure. */
    fun call(
        id: String,
        method: HttpMethod = HttpMethod.POST,
    ): Outcome {
        val request = OutboundRequest(method, "/$id", newHeaders(), HttpBody.EMPTY, Correlation("Attempt-Id", id))
        return send(request, CallOptions(timeoutMs, MAX_IDLE_MS))
    }

    /** Sends a request to the path of [id], but without the id. */
    fun callWithoutId(id: String): Outcome =
        send(
            OutboundRequest(HttpMethod.POST, "/$id", newHeaders(), HttpBody.EMPTY),
            CallOptions(timeoutMs, MAX_IDLE_MS, pooled = false),
        )

    private fun send(
        request: OutboundRequest,
        options: CallOptions,
    ): Outcome {
        val done = CompletableFuture<Outcome>()
        loop.execute { client.send(address, request, options, Collector(done)) }
        return done.completeOnTimeout(TIMED_OUT, timeoutMs.toLong(), TimeUnit.MILLISECONDS).join()
    }

    /**
     * Serves each connection on its own thread; [respond] gets the id of each request, and of the one before it on the
     * connection, null for the first.
     */
    fun serve(respond: (id: String, earlier: String?, socket: Socket) -> Unit) {
        thread(isDaemon = true) {
            runCatching {
                while (true) {
                    val socket = listener.accept()
                    socket.tcpNoDelay = true
                    thread(isDaemon = true) { runCatching { socket.use { serveConnection(it, respond) } } }
                }
            }
        }
    }

    private fun serveConnection(
        socket: Socket,
        respond: (id: String, earlier: String?, socket: Socket) -> Unit,
    ) {
        var earlier: String? = null
        val reader = socket.getInputStream().bufferedReader()
        while (!socket.isClosed) {
            val id = (reader.readLine() ?: return).substringAfter(" /").substringBefore(' ')
            while (reader.readLine().isNotEmpty()) Unit
            respond(id, earlier, socket)
            earlier = id
        }
    }

    private class Collector(
        private val done: CompletableFuture<Outcome>,
    ) : ResponseListener {
        private var status = 0
        private val body = ByteArrayOutputStream()

        override fun onHead(
            status: Int,
            headers: HttpHeaders,
            framing: Framing,
        ) {
            this.status = status
        }

        override fun onContent(content: ByteBuf) {
            content.readBytes(body, content.readableBytes())
        }

        override fun onEnd() {
            done.complete(Outcome(status, text()))
        }

        override fun onFailure(failure: CallFailure) {
            done.complete(Outcome(status, text(), failure.cause))
        }

        private fun text() = body.toString(Charsets.ISO_8859_1)
    }

    private companion object {
        const val BACKLOG = 50
        const val MAX_IDLE_MS = 60_000L
        val TIMED_OUT = Outcome(0, "", "no response")
    }
}

/** Sends [text] as it is. */
fun Socket.say(text: String) {
    getOutputStream().write(text.toByteArray(Charsets.ISO_8859_1))
    getOutputStream().flush()
}
