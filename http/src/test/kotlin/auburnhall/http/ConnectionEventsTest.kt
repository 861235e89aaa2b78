package auburnhall.http

import auburnhall.core.Address
import auburnhall.core.CallerLimits
import auburnhall.core.Clock
import io.netty.buffer.Unpooled
import org.junit.jupiter.api.Assertions.assertEquals
import org.junit.jupiter.api.Assertions.assertTrue
import org.junit.jupiter.api.Test
import java.net.Socket
import java.util.concurrent.CompletableFuture
import java.util.concurrent.TimeUnit

/** What is reported of connections tells which bytes had no owner, and what a caller lost. */
class ConnectionEventsTest {
    private fun response(id: String) = "HTTP/1.1 200 OK\r\nAttempt-Id: $id\r\nContent-Length: 2\r\n\r\nok"

    @Test
    fun `a late response and bytes behind a response are reported with their kind`() {
        WorkerCalls(TIMEOUT_MS).use { worker ->
            worker.serve { id, earlier, socket ->
                val text = earlier?.let { response(it) + response(id) + "HTT" } ?: response(id)
                socket.getOutputStream().write(text.toByteArray())
            }
            assertEquals(Outcome(OK, "ok"), worker.call("a"))
            assertEquals(Outcome(OK, "ok"), worker.call("b"))
            assertEquals(listOf(StrayKind.LATE_RESPONSE, StrayKind.BEHIND_RESPONSE), worker.strays)
        }
    }

    @Test
    fun `bytes on an idle connection are reported`() {
        WorkerCalls(TIMEOUT_MS).use { worker ->
            val sent = CompletableFuture<Unit>()
            worker.serve { id, _, socket ->
                socket.getOutputStream().write(response(id).toByteArray())
                TimeUnit.MILLISECONDS.sleep(PAUSE_MS)
                socket.getOutputStream().write(response(id).toByteArray())
                sent.complete(Unit)
            }
            worker.call("a")
            sent.get(TIMEOUT_MS.toLong(), TimeUnit.MILLISECONDS)
            val deadlineNanos = System.nanoTime() + TimeUnit.MILLISECONDS.toNanos(TIMEOUT_MS.toLong())
            while (worker.strays.isEmpty() && System.nanoTime() < deadlineNanos) Thread.onSpinWait()
            assertEquals(listOf(StrayKind.IDLE), worker.strays)
        }
    }

    @Test
    fun `a stream that is given up is reported with the requests behind it`() {
        val loop = newEventLoop("callers")
        val started = CompletableFuture<ResponseWriter>()
        val server =
            HttpServer(loop, Clock.SYSTEM, { CallerLimits.DEFAULT }) { _, response ->
                response.start(OK, newHeaders())
                response.write(Unpooled.wrappedBuffer("part".toByteArray()))
                started.complete(response)
            }
        val cut = CompletableFuture<CutConnection>()
        server.onCut = cut::complete
        server.bind(Address("127.0.0.1", 0)).sync()
        Socket("127.0.0.1", server.port).use { socket ->
            socket.getOutputStream().write("GET / HTTP/1.1\r\nHost: a\r\n\r\n".repeat(2).toByteArray())
            val response = started.get(TIMEOUT_MS.toLong(), TimeUnit.MILLISECONDS)
            loop.submit { response.abort() }.get()
            val reported = cut.get(TIMEOUT_MS.toLong(), TimeUnit.MILLISECONDS)
            assertEquals(CloseReason.RESPONSE_ABORTED, reported.reason)
            assertTrue(reported.unansweredRequests >= 1, "$reported")
        }
        server.stopListening()
        loop.shutdownGracefully()
    }

    private companion object {
        const val OK = 200
        const val TIMEOUT_MS = 5_000
        const val PAUSE_MS = 50L
    }
}
