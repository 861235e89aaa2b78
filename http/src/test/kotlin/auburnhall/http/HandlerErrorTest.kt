package auburnhall.http

import auburnhall.core.Address
import auburnhall.core.CallerLimits
import auburnhall.core.Clock
import io.netty.buffer.Unpooled
import org.junit.jupiter.api.AfterEach
import org.junit.jupiter.api.Assertions.assertEquals
import org.junit.jupiter.api.Test
import java.util.concurrent.CompletableFuture
import java.util.concurrent.TimeUnit

/** An unexpected error ends at most the request that it belongs to. */
class HandlerErrorTest {
    private val loop = newEventLoop("callers")
    private val reported = CompletableFuture<HandlerError>()
    private val server =
        HttpServer(loop, Clock.SYSTEM, { CallerLimits.DEFAULT }) { request, response ->
            when (request.path) {
                "/error" -> error("expected")
                "/stream-error" -> response.start(OK, newHeaders()).also { error("expected") }
                "/writability-error" -> streamUntilWritabilityChanges(response)
                else -> response.send(OK, newHeaders(), ByteArray(SERVED_BYTES) { SlowSocket.ORDER_BYTE.code.toByte() })
            }
        }

    init {
        server.onHandlerError = { reported.complete(it) }
        server.bind(Address("127.0.0.1", 0)).sync()
    }

    @AfterEach
    fun close() {
        server.stopListening()
        loop.shutdownGracefully()
    }

    private fun streamUntilWritabilityChanges(response: ResponseWriter) {
        response.onWritabilityChange = { error("expected") }
        response.start(OK, newHeaders())
        response.write(Unpooled.wrappedBuffer(ByteArray(EVENT_BYTES)))
    }

    /** The statuses of the responses, and the bytes of orders, that are received for requests to [paths]. */
    private fun exchange(vararg paths: String): Pair<List<Int>, Int> =
        SlowSocket(server.port).use { caller ->
            caller.request(*paths)
            caller.send("GET /last HTTP/1.1\r\nHost: a\r\nConnection: close\r\n\r\n")
            val received = caller.readToEnd()
            assertEquals(null, received.error, "$received")
            assertEquals("IllegalStateException: expected", reported.get(TIMEOUT_MS, TimeUnit.MILLISECONDS).cause)
            STATUS.findAll(received.text).map { it.groupValues[1].toInt() }.toList() to received.orderBytes
        }

    /** Guards against an error that drops the responses and requests of others on its connection. */
    @Test
    fun `a request whose handler throws gets status 500, and those before and behind it are served`() =
        assertEquals(listOf(OK, 500, OK) to 2 * SERVED_BYTES, exchange("/a", "/error"))

    @Test
    fun `a stream whose handler throws is aborted behind the responses before it`() =
        assertEquals(listOf(OK, OK) to SERVED_BYTES, exchange("/a", "/stream-error"))

    @Test
    fun `a stream whose handler throws when the caller falls behind is aborted behind what was sent`() =
        assertEquals(listOf(OK, OK) to SERVED_BYTES, exchange("/a", "/writability-error"))

    private companion object {
        const val OK = 200
        const val SERVED_BYTES = 100_000
        const val EVENT_BYTES = 10_000_000
        const val TIMEOUT_MS = 5_000L
        val STATUS = Regex("HTTP/1.1 ([0-9]+)")
    }
}
