package auburnhall.gateway

import org.junit.jupiter.api.Assertions.assertEquals
import org.junit.jupiter.api.Assertions.assertFalse
import org.junit.jupiter.api.Assertions.assertTrue
import org.junit.jupiter.api.Test
import java.net.Socket
import java.util.concurrent.CompletableFuture
import java.util.concurrent.TimeUnit

/** Workers that send bytes without end, and callers that read slowly. */
class EndlessResponseTest : GatewayFixture() {
    private val closeDelimited = "HTTP/1.1 200 OK\r\nid: q1\r\nstamp: s\r\n\r\n"
    private val closeDelimitedStream =
        "HTTP/1.1 200 OK\r\nid: q1\r\nstamp: s\r\ncontent-type: text/event-stream\r\n\r\n"
    private val requestHead = "GET /stream/x HTTP/1.1\r\nHost: h\r\nid: q1\r\nkey: k\r\nmodel: m\r\n\r\n"

    private fun heldBytes() = loop.submit<Long> { context.buffers.heldBytes }.get()

    @Test
    fun `a body without end gets status 502 and its connection is closed`() {
        val endless = worker(Script.Endless(closeDelimited, "x"))
        serve(endless)
        assertTrue(call("/unsafe/x", method = "POST").startsWith("HTTP/1.1 502"))
        assertTrue(endless.awaitConnectionClose())
        assertTrue(endless.endlessBytes.get() < MAX_IN_TRANSIT_BYTES)
        assertEquals(0, heldBytes())
    }

    @Test
    fun `an event without end is not passed on, and the stream does not look complete`() {
        val endless = worker(Script.Endless(closeDelimitedStream, "x"))
        serve(endless)
        val response = call("/stream/x")
        assertTrue(endless.awaitConnectionClose())
        assertFalse(response.endsWith(lastChunk), "complete")
        assertFalse(response.contains("xx"), "passed on")
        assertTrue(endless.endlessBytes.get() < MAX_IN_TRANSIT_BYTES)
        assertEquals(0, heldBytes())
    }

    @Test
    fun `heads without end get status 502`() {
        serve(worker(Script.Endless("", "HTTP/1.1 102 Processing\r\n\r\n")))
        assertTrue(call("/unsafe/x", method = "POST").startsWith("HTTP/1.1 502"))
        serve(worker(Script.Endless("HTTP/1.1 200 OK\r\n", "a: b\r\n")))
        assertTrue(call("/unsafe/x", method = "POST").startsWith("HTTP/1.1 502"))
    }

    @Test
    fun `trailers without end get status 502`() {
        val head = "HTTP/1.1 200 OK\r\nid: q1\r\nstamp: s\r\ntransfer-encoding: chunked\r\n\r\n0\r\n"
        serve(worker(Script.Endless(head, "a: b\r\n")))
        assertTrue(call("/unsafe/x", method = "POST").startsWith("HTTP/1.1 502"))
    }

    @Test
    fun `a late response without end to another request gets status 502`() {
        val endless = worker(Script.Endless("HTTP/1.1 200 OK\r\nid: q0\r\n\r\n", "x"))
        serve(endless)
        assertTrue(call("/unsafe/x", method = "POST").startsWith("HTTP/1.1 502"))
        assertTrue(endless.awaitConnectionClose())
        assertTrue(endless.endlessBytes.get() < MAX_IN_TRANSIT_BYTES)
    }

    @Test
    fun `a worker is held back while its caller does not read`() {
        val endless = worker(Script.Endless(closeDelimitedStream, "data: ${"x".repeat(EVENT_CHARACTERS)}\n\n"))
        serve(endless)
        Socket("127.0.0.1", port).use { socket ->
            socket.getOutputStream().write(requestHead.toByteArray())
            socket.getOutputStream().flush()
            val settled = awaitStandstill(endless)
            assertTrue(settled < MAX_IN_TRANSIT_BYTES, "$settled bytes")
            val input = socket.getInputStream()
            val block = ByteArray(BLOCK_BYTES)
            while (endless.endlessBytes.get() == settled) input.read(block)
        }
        assertTrue(endless.awaitConnectionClose())
    }

    /** Waits until the connections to [worker] take no more bytes; returns how many they took. */
    private fun awaitStandstill(worker: ScriptedWorker): Long {
        var last = -1L
        while (worker.endlessBytes.get() != last || last <= 0) {
            last = worker.endlessBytes.get()
            CompletableFuture<Unit>().completeOnTimeout(Unit, STANDSTILL_MS, TimeUnit.MILLISECONDS).join()
        }
        return last
    }

    @Test
    fun `fifty endless bodies hold no more than the limit, and other requests are served meanwhile`() {
        val scripts = Array<Script>(50) { Script.Endless(closeDelimited, "x") }
        val endless = List(50) { worker(*scripts) }
        serve(*endless.toTypedArray())
        val calls = endless.map { CompletableFuture.supplyAsync { call("/unsafe/x", method = "POST") } }
        var most = 0L
        while (calls.any { !it.isDone }) most = maxOf(most, heldBytes())
        assertTrue(most <= ResponseBuffers.MAX_TOTAL_BYTES, "$most bytes")
        assertTrue(calls.none { it.join().startsWith("HTTP/1.1 200") })
        serve(worker(Script.Send(full("hello"))))
        assertTrue(call("/safe/x").endsWith("hello"))
        assertEquals(0, heldBytes())
    }

    private companion object {
        const val STANDSTILL_MS = 300L

        /** What the buffers of four sockets and of the gateway hold on loopback. */
        const val MAX_IN_TRANSIT_BYTES = 24_000_000L
        const val EVENT_CHARACTERS = 1_000
        const val BLOCK_BYTES = 65_536
    }
}
