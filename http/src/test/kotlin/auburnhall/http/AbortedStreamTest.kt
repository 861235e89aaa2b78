package auburnhall.http

import auburnhall.core.Address
import auburnhall.core.CallerLimits
import auburnhall.core.Clock
import io.netty.buffer.Unpooled
import org.junit.jupiter.api.AfterEach
import org.junit.jupiter.api.Assertions.assertEquals
import org.junit.jupiter.api.Assertions.assertTrue
import org.junit.jupiter.api.Test
import java.util.Collections
import java.util.concurrent.CompletableFuture
import java.util.concurrent.TimeUnit

/** A stream is aborted while the caller has not read yet what was sent before on its connection. */
class AbortedStreamTest {
    private val loop = newEventLoop("callers")
    private val limits = CallerLimits.DEFAULT.copy(idleTimeoutMs = IDLE_TIMEOUT_MS)
    private val served = Collections.synchronizedList(ArrayList<String>())
    private val aborted = CompletableFuture<Unit>()
    private val server =
        HttpServer(loop, Clock.SYSTEM, { limits }) { request, response ->
            served.add(request.path)
            if (request.path == "/stream") abortStream(response) else order(request.path, response)
        }

    init {
        server.bind(Address("127.0.0.1", 0)).sync()
    }

    @AfterEach
    fun close() {
        server.stopListening()
        loop.shutdownGracefully()
    }

    private fun order(
        path: String,
        response: ResponseWriter,
    ) = response.send(OK, newHeaders(), ByteArray(path.drop(1).toInt()) { SlowSocket.ORDER_BYTE.code.toByte() })

    private fun abortStream(response: ResponseWriter) {
        response.start(OK, newHeaders())
        response.write(Unpooled.wrappedBuffer(EVENT.toByteArray()))
        response.abort()
        aborted.complete(Unit)
    }

    private fun inProgress() = loop.submit<Int> { server.inProgress }.get()

    /** Sends the requests for [paths] and waits until the stream is aborted. */
    private fun SlowSocket.requestUntilAborted(vararg paths: String) {
        request(*paths)
        aborted.get(TIMEOUT_MS, TimeUnit.MILLISECONDS)
    }

    /** Guards against a reset that drops the answers before an aborted stream, and its own events. */
    @Test
    fun `answers before an aborted stream and its events are delivered, and it does not look complete`() {
        val sizes = listOf(0, 200_000, 3_000_000)
        val received =
            sizes.map { bytes ->
                SlowSocket(server.port).use { caller ->
                    caller.requestUntilAborted("/$bytes", "/stream")
                    TimeUnit.MILLISECONDS.sleep(READS_AFTER_MS)
                    caller.readToEnd()
                }
            }
        assertEquals(
            sizes.map { Triple(it, true, null) },
            received.map { Triple(it.orderBytes, EVENT in it.text, it.error) },
        )
        assertTrue(received.all { it.text.endsWith("$EVENT\r\n") }, "$received")
    }

    /** Guards against a stop that ends the process before these answers are sent. */
    @Test
    fun `a connection is in progress until what came before an aborted stream is read`() {
        SlowSocket(server.port).use { caller ->
            caller.requestUntilAborted("/$LARGE_BYTES", "/stream")
            assertEquals(1, inProgress())
            loop.submit { server.closeIdleConnections() }.get()
            assertEquals(LARGE_BYTES, caller.readToEnd().orderBytes)
        }
        awaitNoneOpen()
    }

    @Test
    fun `requests behind an aborted stream are not served`() {
        SlowSocket(server.port).use { caller ->
            caller.requestUntilAborted("/stream", "/1", "/2")
            assertTrue(caller.readToEnd().text.endsWith("$EVENT\r\n"))
        }
        assertEquals(listOf("/stream"), served.toList())
    }

    /** Guards against connections that are kept for callers that take nothing. */
    @Test
    fun `a caller that takes nothing before an aborted stream is given up after the idle timeout`() {
        val cut = CompletableFuture<CutConnection>()
        server.onCut = { if (it.reason == CloseReason.IDLE) cut.complete(it) }
        SlowSocket(server.port).use { caller ->
            caller.requestUntilAborted("/$LARGE_BYTES", "/stream")
            val reported = cut.get(TIMEOUT_MS, TimeUnit.MILLISECONDS)
            assertTrue(reported.unsentBytes > 0, "$reported")
            awaitNoneOpen()
        }
    }

    private fun awaitNoneOpen() {
        val deadlineNanos = System.nanoTime() + TimeUnit.MILLISECONDS.toNanos(TIMEOUT_MS)
        while (loop.submit<Int> { server.openConnections }.get() > 0 && System.nanoTime() < deadlineNanos) {
            Thread.onSpinWait()
        }
        assertEquals(0, loop.submit<Int> { server.openConnections }.get())
    }

    private companion object {
        const val OK = 200
        const val TIMEOUT_MS = 10_000L
        const val IDLE_TIMEOUT_MS = 300L
        const val READS_AFTER_MS = 300L
        const val EVENT = "id: 1\ndata: x\n\n"

        /** Far more than the buffers of both sockets hold. */
        const val LARGE_BYTES = 30_000_000
    }
}
