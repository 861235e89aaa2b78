package auburnhall.http

import auburnhall.core.Address
import auburnhall.core.CallerLimits
import auburnhall.core.Clock
import io.netty.buffer.Unpooled
import io.netty.handler.codec.http.DefaultHttpHeaders
import org.junit.jupiter.api.AfterEach
import org.junit.jupiter.api.Assertions.assertEquals
import org.junit.jupiter.api.Assertions.assertTrue
import org.junit.jupiter.api.Test
import java.util.concurrent.CompletableFuture
import java.util.concurrent.TimeUnit

/** A response that cannot be encoded ends its connection behind the responses before it, and is reported. */
class WriteErrorTest {
    private val loop = newEventLoop("callers")
    private val cut = CompletableFuture<CutConnection>()
    private val disconnected = CompletableFuture<Unit>()
    private val server =
        HttpServer(loop, Clock.SYSTEM, { CallerLimits.DEFAULT }) { request, response ->
            when (request.path) {
                "/bad-head" -> response.send(OK, UnreadableHeaders(), ByteArray(0))
                "/bad-event" -> streamReleased(response)
                else -> response.send(OK, newHeaders(), ByteArray(SERVED_BYTES) { SlowSocket.ORDER_BYTE.code.toByte() })
            }
        }

    init {
        server.onCut = { cut.complete(it) }
        server.bind(Address("127.0.0.1", 0)).sync()
    }

    @AfterEach
    fun close() {
        server.stopListening()
        loop.shutdownGracefully()
    }

    /** Headers that cannot be encoded. */
    private class UnreadableHeaders : DefaultHttpHeaders() {
        override fun iteratorCharSequence() = error("expected")
    }

    private fun streamReleased(response: ResponseWriter) {
        response.onDisconnect = { disconnected.complete(Unit) }
        response.start(OK, newHeaders())
        response.write(Unpooled.buffer(1).writeByte(1).also { it.release() })
    }

    /** What is received for requests to [paths], the last of which cannot be encoded, until the connection ends. */
    private fun exchange(vararg paths: String): SlowSocket.Received =
        SlowSocket(server.port).use { caller ->
            caller.request(*paths)
            caller.readToEnd().also { assertEquals(SERVED_BYTES to null, it.orderBytes to it.error, "$it") }
        }

    private fun assertReported() {
        val reported = cut.get(TIMEOUT_MS, TimeUnit.MILLISECONDS)
        assertEquals(CloseReason.WRITE_ERROR, reported.reason)
        assertEquals(1, reported.unansweredRequests, "$reported")
        assertTrue(reported.cause != null)
    }

    /** Guards against a caller that waits for ever for a response that could not be written. */
    @Test
    fun `a response whose head cannot be encoded ends the connection behind the response before it`() {
        exchange("/a", "/bad-head")
        assertReported()
    }

    @Test
    fun `a stream of which an event cannot be encoded ends the connection, and its handler is told`() {
        exchange("/a", "/bad-event")
        assertReported()
        disconnected.get(TIMEOUT_MS, TimeUnit.MILLISECONDS)
    }

    private companion object {
        const val OK = 200
        const val SERVED_BYTES = 100_000
        const val TIMEOUT_MS = 5_000L
    }
}
