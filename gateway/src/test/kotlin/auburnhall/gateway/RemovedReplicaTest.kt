package auburnhall.gateway

import auburnhall.core.Fleet
import auburnhall.routing.TargetTable
import org.junit.jupiter.api.Assertions.assertEquals
import org.junit.jupiter.api.Assertions.assertTrue
import org.junit.jupiter.api.Test
import java.util.concurrent.CompletableFuture
import java.util.concurrent.CountDownLatch
import java.util.concurrent.TimeUnit

/** Streams whose replica takes no more requests, so that the table of targets does not list it any more. */
class RemovedReplicaTest : GatewayFixture() {
    private val key = TargetTable.keyOf("m/i-0", 1)
    private val other = worker(Script.Send(stream(2) + lastChunk))

    /** Replaces all targets by [other]. */
    private fun removeReplica() {
        val entry = workerEntry("i-1", other.port)
        val replicas = mapOf("model" to listOf(replica(entry)))
        val table = TargetTable(Fleet(2, listOf(entry)), CONFIGURATION.services.values, replicas)
        loop.submit { gateway.update(GatewayState(CONFIGURATION, table)) }.sync()
    }

    private fun start(replica: ScriptedWorker): CompletableFuture<String> {
        serve(replica)
        val response = CompletableFuture.supplyAsync { call("/stream/x") }
        while (replica.requests.isEmpty()) Thread.onSpinWait()
        return response
    }

    /** Guards against a stream that loses its place at a busy replica because that replica is about to close. */
    @Test
    fun `a stream that waits at an active replica stays there when the replica is removed`() {
        val ready = CountDownLatch(1)
        val response = start(worker(Script.Stalled("", ready, stream(1) + lastChunk)))
        repeat(ACTIVITIES) {
            TimeUnit.MILLISECONDS.sleep(ACTIVITY_PERIOD_MS)
            loop.submit { context.failureDetector.onActivity(key) }.sync()
        }
        removeReplica()
        TimeUnit.MILLISECONDS.sleep(QUIET_MS)
        ready.countDown()
        assertEquals(listOf(1), eventIds(response.get(10, TimeUnit.SECONDS)))
        assertEquals(0, other.requests.size)
    }

    @Test
    fun `a stream at a lost replica is moved once another one appears, although the lost one is removed`() {
        val response = start(worker(Script.Endless(stream(1), chunk("id: 1\ndata: e1\n\n"))))
        loop
            .submit {
                health.markLost(key)
                gateway.onReplicaLost()
            }.sync()
        removeReplica()
        val text = response.get(10, TimeUnit.SECONDS)
        assertEquals(2, eventIds(text).last())
        assertTrue(text.endsWith(lastChunk))
    }

    private companion object {
        const val ACTIVITIES = 9
        const val ACTIVITY_PERIOD_MS = 100L

        /** Less than the silence after which a replica is suspected, more than the time between two checks. */
        const val QUIET_MS = 400L
    }
}
