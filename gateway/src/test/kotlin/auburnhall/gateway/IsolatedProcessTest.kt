package auburnhall.gateway

import auburnhall.core.Address
import org.junit.jupiter.api.AfterEach
import org.junit.jupiter.api.Assertions.assertEquals
import org.junit.jupiter.api.Assertions.assertFalse
import org.junit.jupiter.api.Assertions.assertTrue
import org.junit.jupiter.api.BeforeEach
import org.junit.jupiter.api.Test
import java.net.InetAddress
import java.net.ServerSocket
import java.net.Socket
import java.nio.channels.SocketChannel
import java.util.concurrent.CompletableFuture
import java.util.concurrent.TimeUnit

/** Callers of a process that reaches no worker, beside another process that does. */
class IsolatedProcessTest : IsolatedProcessFixture() {
    private val other = otherProcess()
    private val silent = SilentListener()

    /** A port at which connections are neither made nor refused. */
    private class SilentListener : AutoCloseable {
        private val socket = ServerSocket(0, 1, InetAddress.getLoopbackAddress())
        private val filling = List(4) { SocketChannel.open().apply { configureBlocking(false) } }
        val port: Int get() = socket.localPort

        init {
            filling.forEach { it.connect(socket.localSocketAddress) }
        }

        override fun close() {
            filling.forEach { it.close() }
            socket.close()
        }
    }

    @BeforeEach
    fun connectProcesses() = connectTo(other.helped.port)

    @AfterEach
    fun closeSilent() = silent.close()

    private fun await(condition: () -> Boolean) {
        val untilNs = System.nanoTime() + TimeUnit.SECONDS.toNanos(WAIT_S)
        while (!condition()) check(System.nanoTime() < untilNs) { "not within $WAIT_S s; ${events.names}" }
    }

    /** Guards against failing each caller of a process whose connections are refused (RECOVER). */
    @Test
    fun `callers are served by another process when connections to workers are refused`() {
        other.serveBy(other.workerOf(*Array(9) { Script.Send(full("hello")) }))
        refusing()
        repeat(9) { assertTrue(call("/unsafe/x", method = "POST").endsWith("hello")) }
        assertEquals(1, events.names.count { it == "workers.unreachable" })
    }

    /** Guards against failing callers whose few workers refuse connections while others are still heard (RECOVER). */
    @Test
    fun `a request is passed on when all its targets refuse connections`() {
        other.serveBy(other.workerOf(*Array(3) { Script.Send(full("hello")) }))
        val worker = workerEntry("i-0", 1).copy(service = "plain", membership = null)
        serveFleet(listOf(worker), emptyList())
        repeat(3) { assertTrue(call("/unsafe/x", method = "POST").endsWith("hello")) }
        assertFalse(reachability.isolated)
    }

    /** Guards against holding callers for connections that hang, one worker after the other (RECOVER). */
    @Test
    fun `callers are served by another process when connections to workers hang`() {
        other.serveBy(other.workerOf(*Array(4) { Script.Send(full("hello")) }))
        serveUnreachable { Address("127.0.0.1", silent.port) }
        val responses = List(4) { CompletableFuture.supplyAsync { call("/unsafe/x", method = "POST") } }
        responses.forEach { assertTrue(it.get(WAIT_S, TimeUnit.SECONDS).endsWith("hello")) }
    }

    @Test
    fun `a stream that another process serves is whole, and goes on after that process was lost`() {
        val own = worker(Script.Send(stream(2, 3) + lastChunk))
        other.serveBy(other.workerOf(Script.Send(stream(1))))
        refusing()
        val response = CompletableFuture.supplyAsync { call("/stream/x") }
        await { "request.passed_on" in events.names }
        TimeUnit.MILLISECONDS.sleep(300)
        serve(own)
        loop.submit { reachability.onHeard() }.sync()
        other.endsAbruptly()
        assertEquals(listOf(1, 2, 3), eventIds(response.get(WAIT_S, TimeUnit.SECONDS)))
    }

    /** Guards against running a request twice, or calling it not run, when the process that serves it is lost. */
    @Test
    fun `a request that may run once is not sent again when the process that serves it is lost`() {
        val remote = other.workerOf(Script.NoResponse)
        other.serveBy(remote)
        refusing()
        val response = CompletableFuture.supplyAsync { call("/unsafe/x", method = "POST") }
        await { remote.requests.isNotEmpty() }
        other.endsAbruptly()
        assertEquals("502", status(response.get(WAIT_S, TimeUnit.SECONDS)))
        assertEquals(1, remote.requests.size)
    }

    @Test
    fun `a request that every process refuses is refused at once, since it has not run`() {
        loop.submit { helpers.onProcesses(listOf(Helper("self", Address("127.0.0.1", other.helped.port), "z"))) }.sync()
        refusing()
        val startedAtNs = System.nanoTime()
        repeat(4) { assertEquals("503", status(call("/unsafe/x", method = "POST"))) }
        assertTrue(TimeUnit.NANOSECONDS.toMillis(System.nanoTime() - startedAtNs) < 1_000)
    }

    @Test
    fun `the worker stops when the caller of the passing process leaves`() {
        val remote = other.workerOf(Script.NoResponse)
        other.serveBy(remote)
        refusing()
        Socket("127.0.0.1", port).use {
            it.getOutputStream().write("GET /safe/x HTTP/1.1\r\nHost: h\r\nid: q1\r\nkey: k\r\n\r\n".toByteArray())
            await { remote.requests.isNotEmpty() }
        }
        assertTrue(remote.awaitConnectionClose())
    }

    private companion object {
        const val WAIT_S = 5L
    }
}
