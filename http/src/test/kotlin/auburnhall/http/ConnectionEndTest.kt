package auburnhall.http

import auburnhall.core.Address
import auburnhall.core.CallerLimits
import auburnhall.core.Clock
import org.junit.jupiter.api.AfterEach
import org.junit.jupiter.api.Assertions.assertEquals
import org.junit.jupiter.api.Assertions.assertThrows
import org.junit.jupiter.api.Assertions.assertTrue
import org.junit.jupiter.api.Test
import java.io.IOException
import java.net.Socket
import java.util.concurrent.TimeUnit

/** A caller sends more while its connection ends, before it has read the response to its order. */
class ConnectionEndTest {
    private val loop = newEventLoop("callers")
    private val limits = CallerLimits.DEFAULT.copy(idleTimeoutMs = IDLE_TIMEOUT_MS)
    private val server =
        HttpServer(loop, Clock.SYSTEM, { limits }) { request, response ->
            val bytes = request.path.drop(1).toInt()
            response.send(OK, newHeaders(), ByteArray(bytes) { SlowSocket.ORDER_BYTE.code.toByte() })
        }

    init {
        server.bind(Address("127.0.0.1", 0)).sync()
    }

    @AfterEach
    fun close() {
        server.stopListening()
        loop.shutdownGracefully()
    }

    /** Sends an order with [fields], lets the connection end with [end], sends more, and reads. */
    private fun readAfterEnd(
        fields: String = "",
        end: (SlowSocket) -> Unit,
    ): SlowSocket.Received =
        SlowSocket(server.port).use { caller ->
            caller.send("GET /$ORDER_BYTES HTTP/1.1\r\nHost: a\r\n$fields\r\n")
            pause()
            end(caller)
            pause()
            runCatching { caller.request("/0") }
            pause()
            caller.readToEnd()
        }

    private fun assertWhole(received: SlowSocket.Received) =
        assertEquals(ORDER_BYTES to null, received.orderBytes to received.error, "$received")

    /** Guards against a reset by what a caller sends behind its last request. */
    @Test
    fun `the last response on a connection is delivered to a caller that sends more`() =
        assertWhole(readAfterEnd("Connection: close\r\n") { })

    /** Guards against a reset when a request crosses the close of an idle connection. */
    @Test
    fun `a response that is still read when the idle timeout passes is delivered`() =
        assertWhole(readAfterEnd { TimeUnit.MILLISECONDS.sleep(IDLE_TIMEOUT_MS + IDLE_MARGIN_MS) })

    /** Guards against a planned stop that cuts a response which the operating system still sends. */
    @Test
    fun `a response that is still read when idle connections are closed is delivered`() =
        assertWhole(
            readAfterEnd {
                assertEquals(0, loop.submit<Int> { server.inProgress }.get())
                loop.submit { server.closeIdleConnections() }.get()
                assertEquals(1, loop.submit<Int> { server.inProgress }.get(), "a stop does not wait for the caller")
            },
        )

    /** Guards against a refusal that ends the connection after a fixed time, with an earlier response unread. */
    @Test
    fun `a response before a refused request is delivered to a caller that reads it late`() {
        SlowSocket(server.port).use { caller ->
            caller.request("/$LARGE_BYTES")
            caller.send("GET / HTTP/1.1\r\nContent-Length: x\r\n\r\n")
            TimeUnit.MILLISECONDS.sleep(LATE_MS)
            val received = caller.readToEnd()
            assertEquals(LARGE_BYTES to null, received.orderBytes to received.error, "$received")
            assertTrue("HTTP/1.1 400" in received.text, "$received")
        }
    }

    /** Guards against a request that is read and dropped, so that its caller cannot tell whether it was run. */
    @Test
    fun `a request that crosses the close of an idle connection after a short response is reset`() {
        Socket("127.0.0.1", server.port).use { caller ->
            caller.soTimeout = LATE_MS.toInt()
            val request = "GET /$SHORT_BYTES HTTP/1.1\r\nHost: a\r\n\r\n".toByteArray()
            caller.getOutputStream().write(request)
            while (caller.getInputStream().read() != SlowSocket.ORDER_BYTE.code) Unit
            caller.getInputStream().readNBytes(SHORT_BYTES - 1)
            pause()
            loop.submit { server.closeIdleConnections() }.get()
            assertEquals(-1, caller.getInputStream().read())
            caller.getOutputStream().write(request)
            pause()
            assertThrows(IOException::class.java) { caller.getOutputStream().write(request) }
        }
    }

    private fun pause() = TimeUnit.MILLISECONDS.sleep(PAUSE_MS)

    private companion object {
        const val OK = 200

        const val SHORT_BYTES = 800

        /** As much as the operating system takes over at once. */
        const val ORDER_BYTES = 1_000_000

        /** Far more than the buffers of both sockets hold. */
        const val LARGE_BYTES = 30_000_000
        const val PAUSE_MS = 200L
        const val LATE_MS = 4_000L
        const val IDLE_TIMEOUT_MS = 3_000L
        const val IDLE_MARGIN_MS = 1_500L
    }
}
