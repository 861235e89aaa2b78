package auburnhall.gateway

import org.junit.jupiter.api.Assertions.assertEquals
import org.junit.jupiter.api.Assertions.assertTrue
import org.junit.jupiter.api.Test
import java.util.concurrent.CompletableFuture
import java.util.concurrent.CountDownLatch
import java.util.concurrent.TimeUnit

/** Streams whose replica is silent for longer than a lost one is given, while no retry can be sent. */
class StalledStreamTest : GatewayFixture() {
    private val ready = CountDownLatch(1)
    private val stalled = worker(Script.Stalled(stream(1, 2), ready, chunk("id: 3\ndata: e3\n\n") + lastChunk))
    private val other = worker(Script.Send(stream(3) + lastChunk))

    /** Calls [stalled], adds [other], runs [prepare], and runs [onStalled] once the replica counts as lost. */
    private fun callStalled(
        prepare: () -> Unit,
        onStalled: () -> Unit,
    ): String {
        serve(stalled)
        val response = CompletableFuture.supplyAsync { call("/stream/x") }
        while (stalled.requests.isEmpty()) Thread.onSpinWait()
        serve(stalled, other)
        loop.submit(prepare).sync()
        TimeUnit.MILLISECONDS.sleep(STALL_MS)
        loop.submit(onStalled).sync()
        return response.get(10, TimeUnit.SECONDS)
    }

    private val budget get() = context.budgets.of("model")

    private fun useUpBudget() {
        while (budget.tryAcquire()) Unit
    }

    private fun assertWhole(response: String) {
        assertEquals(listOf(1, 2, 3), eventIds(response))
        assertTrue(response.endsWith(lastChunk))
    }

    /** Guards against a stream that is cut because it may not be retried, although its worker goes on later. */
    @Test
    fun `a stream goes on at its silent replica while the retry budget is used up`() {
        assertWhole(callStalled(::useUpBudget, ready::countDown))
        assertEquals(0, other.requests.size)
    }

    @Test
    fun `a stream goes on at its silent replica while no other one takes requests, and uses up no retry`() {
        val pause = {
            val targets = context.state.targets.of("model", "m")
            context.notices.onPause(targets.single { it.worker.address.port == other.port }, PAUSE_MS)
        }
        assertWhole(callStalled(pause, ready::countDown))
        assertEquals(0, other.requests.size)
        assertTrue("request.retried" !in events.names)
    }

    @Test
    fun `a stream goes on at its silent replica while the other one is full`() {
        val fill = {
            val target =
                context.state.targets
                    .of("model", "m")
                    .single { it.worker.address.port == other.port }
            repeat(2 * target.slots) { context.load.begin(target.key, 0) }
        }
        assertWhole(callStalled(fill, ready::countDown))
        assertEquals(0, other.requests.size)
    }

    @Test
    fun `a stream is moved from its silent replica once the retry budget allows it`() {
        assertWhole(callStalled(::useUpBudget) { repeat(2) { budget.onRequest() } })
        assertEquals(1, other.requests.size)
    }

    private companion object {
        /** More than the time after which a silent replica counts as lost. */
        const val STALL_MS = 1_000L
        const val PAUSE_MS = 8_000L
    }
}
