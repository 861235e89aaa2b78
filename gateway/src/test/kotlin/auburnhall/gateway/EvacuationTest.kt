package auburnhall.gateway

import auburnhall.core.Fleet
import auburnhall.routing.TargetTable
import org.junit.jupiter.api.Assertions.assertEquals
import org.junit.jupiter.api.Assertions.assertTrue
import org.junit.jupiter.api.Test
import java.net.InetAddress
import java.net.ServerSocket
import java.nio.channels.SocketChannel
import java.util.concurrent.Callable
import java.util.concurrent.CompletableFuture
import java.util.concurrent.CountDownLatch
import java.util.concurrent.TimeUnit

/** Requests while the data centre "z", or "y" beside it, is evacuated. */
class EvacuationTest : GatewayFixture() {
    /** Serves from the port [inZ] in one data centre and from [inY] in the other. */
    private fun serveFrom(
        inZ: Int,
        inY: ScriptedWorker,
    ) {
        val listed = listOf(workerEntry("i-0", inZ), workerEntry("i-1", inY.port).copy(dataCentre = "y"))
        val plain = listed.map { it.copy(service = "plain", membership = null) }
        val replicas = mapOf("model" to listed.map(::replica))
        val table = TargetTable(Fleet(1, listed + plain), CONFIGURATION.services.values, replicas)
        loop.submit { gateway.update(GatewayState(CONFIGURATION, table)) }.sync()
    }

    private fun evacuate(vararg dataCentres: String) =
        loop.submit { gateway.update(context.state.without(dataCentres.toSet())) }.sync()

    private fun emptied() = events.events.filter { it.name == "evacuation.empty" }.map { it.details.first().second }

    private fun status(response: String) = response.substringAfter(' ').take(3).toInt()

    /** Guards against a first attempt or a retry in an evacuated data centre. */
    @Test
    fun `requests and retries avoid the data centre until the evacuation is taken back`() {
        val inZ = worker(*Array<Script>(CALLS) { Script.Send(full("z")) })
        val inY = worker(*Array<Script>(CALLS) { Script.Send(full("y")) })
        serveFrom(inZ.port, inY)
        evacuate("z")
        repeat(CALLS) { assertTrue(call("/unsafe/x", method = "POST").endsWith("y")) }
        assertEquals(0, inZ.requests.size)
        evacuate("y")
        assertTrue(call("/unsafe/x", method = "POST").endsWith("z"))
    }

    /** Guards against a stream that is resumed there, and against a data centre that is taken for empty too early. */
    @Test
    fun `a stream that breaks is not resumed there, and one that runs there goes on`() {
        val ready = CountDownLatch(1)
        val inZ = worker(Script.Stalled(stream(1), ready, chunk("id: 2\ndata: e2\n\n") + lastChunk))
        val inY = worker(Script.Close(stream(1)))
        serveFrom(inZ.port, inY)
        evacuate("y")
        val running = CompletableFuture.supplyAsync { call("/stream/x") }
        while (inZ.requests.isEmpty()) Thread.onSpinWait()
        evacuate("z")
        assertEquals(1, gateway.requestsInEvacuated)
        assertEquals(listOf("y"), emptied())
        ready.countDown()
        assertEquals(listOf(1, 2), eventIds(running.get(WAIT_S, TimeUnit.SECONDS)))
        assertEquals(listOf(1), eventIds(call("/stream/x")))
        assertEquals(1, inZ.requests.size)
        assertEquals(0, gateway.requestsInEvacuated)
        assertEquals(listOf("y", "z"), emptied())
    }

    /** Guards against refusals that do not name the cause, and against requests held although no target will come. */
    @Test
    fun `when all data centres are evacuated, requests are refused at once and nothing is sent`() {
        val inZ = worker()
        val inY = worker()
        serveFrom(inZ.port, inY)
        evacuate("z", "y")
        val startedAtNs = System.nanoTime()
        assertEquals(SERVICE_UNAVAILABLE, status(call("/stream/x")))
        assertEquals(SERVICE_UNAVAILABLE, status(call("/safe/x")))
        assertTrue(TimeUnit.NANOSECONDS.toMillis(System.nanoTime() - startedAtNs) < REFUSED_WITHIN_MS)
        assertEquals(0, inZ.requests.size + inY.requests.size)
        val ended = events.events.filter { it.name == "request.ended" }
        assertEquals(List(2) { "data centres evacuated" }, ended.map { it.details.toMap()["reason"] })
    }

    /** Guards against requests to an evacuated data centre because the other one is lost. */
    @Test
    fun `while the other data centre is lost, requests are refused, and served there once it has returned`() {
        val inZ = worker()
        val inY = worker(Script.Send(full("y")))
        serve(inZ)
        evacuate("z")
        assertEquals(SERVICE_UNAVAILABLE, status(call("/unsafe/x", method = "POST")))
        serveFrom(inZ.port, inY)
        evacuate("z")
        assertTrue(call("/unsafe/x", method = "POST").endsWith("y"))
        assertEquals(0, inZ.requests.size)
    }

    /** Guards against a request that is sent once its connection is there, after the evacuation has begun. */
    @Test
    fun `a request that waits for a connection there is sent to another data centre`() {
        val inY = worker(Script.Send(full("y")))
        ServerSocket(0, 1, InetAddress.getLoopbackAddress()).use { full ->
            val connections = List(FILLING_CONNECTIONS) { SocketChannel.open().apply { configureBlocking(false) } }
            connections.forEach { it.connect(full.localSocketAddress) }
            serveFrom(full.localPort, inY)
            evacuate("y")
            val response = CompletableFuture.supplyAsync { call("/unsafe/x", method = "POST") }
            while (loop.submit(Callable { load.own(Z_TARGET).requests }).get() == 0) Thread.onSpinWait()
            evacuate("z")
            assertTrue(response.get(WAIT_S, TimeUnit.SECONDS).endsWith("y"))
            connections.forEach { it.close() }
        }
        assertTrue("request.withdrawn" in events.names)
        assertEquals(1, inY.requests.size)
    }

    private companion object {
        const val CALLS = 5
        const val WAIT_S = 10L
        const val SERVICE_UNAVAILABLE = 503
        const val REFUSED_WITHIN_MS = 500L

        /** More than the queue of a socket that accepts no connections holds; further ones are not established. */
        const val FILLING_CONNECTIONS = 4
        val Z_TARGET = TargetTable.keyOf("i-0", 1)
    }
}
