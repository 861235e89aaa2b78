package auburnhall.gateway

import auburnhall.routing.TargetTable
import org.junit.jupiter.api.Assertions.assertEquals
import org.junit.jupiter.api.Assertions.assertTrue
import org.junit.jupiter.api.Test
import java.util.concurrent.CompletableFuture
import java.util.concurrent.TimeUnit

class SilentReplicaTest : GatewayFixture() {
    /** Starts a stream at a worker with [script], adds another one that ends it, and returns the response. */
    private fun resumedStream(
        script: Script,
        onStarted: () -> Unit,
    ): String {
        val failing = worker(script)
        val other = worker(Script.Send(stream(3) + lastChunk))
        serve(failing)
        val response = CompletableFuture.supplyAsync { call("/stream/x") }
        while (failing.requests.isEmpty()) Thread.onSpinWait()
        serve(failing, other)
        onStarted()
        return response.get(10, TimeUnit.SECONDS)
    }

    @Test
    fun `a stream that has stopped at its replica is resumed at another one within a second and a half`() {
        var startedAtNs = 0L
        val response = resumedStream(Script.Send(stream(1, 2))) { startedAtNs = System.nanoTime() }
        val tookMs = TimeUnit.NANOSECONDS.toMillis(System.nanoTime() - startedAtNs)
        assertEquals(listOf(1, 2, 3), eventIds(response))
        assertTrue(response.endsWith(lastChunk))
        assertEquals(1, events.names.count { it == "replica.suspected" })
        assertTrue(tookMs < 1_500, "$tookMs ms")
    }

    @Test
    fun `a stream that advances is moved when the controller tears its replica down`() {
        val repeated = Script.Endless(stream(1), chunk("id: 1\ndata: e1\n\n"))
        val response =
            resumedStream(repeated) {
                loop
                    .submit {
                        health.markLost(TargetTable.keyOf("m/i-0", 1))
                        gateway.onReplicaLost()
                    }.sync()
            }
        assertEquals(3, eventIds(response).last())
        assertTrue(response.endsWith(lastChunk))
        assertTrue("replica.suspected" !in events.names)
    }
}
