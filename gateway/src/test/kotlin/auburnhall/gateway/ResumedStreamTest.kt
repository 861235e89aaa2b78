package auburnhall.gateway

import org.junit.jupiter.api.Assertions.assertEquals
import org.junit.jupiter.api.Assertions.assertFalse
import org.junit.jupiter.api.Assertions.assertTrue
import org.junit.jupiter.api.Test
import java.util.concurrent.CompletableFuture
import java.util.concurrent.TimeUnit

/** Streams that lose their worker while no other one takes them at once. */
class ResumedStreamTest : GatewayFixture() {
    private val rejection = full("", "503 Full", stamp = "notrun: 1\r\n")

    /** Guards against a stream that is cut, although another worker could have gone on a moment later. */
    @Test
    fun `a stream whose second worker rejects it goes on at a third one that appears soon`() {
        val first = worker(Script.Reset(stream(1, 2)), Script.Send(rejection))
        val second = worker(Script.Send(rejection), Script.Send(rejection))
        val third = worker(Script.Send(stream(3, 4) + lastChunk))
        serve(first)
        val response = CompletableFuture.supplyAsync { call("/stream/x") }
        TimeUnit.MILLISECONDS.sleep(APPEARANCE_MS)
        serve(first, second)
        TimeUnit.MILLISECONDS.sleep(APPEARANCE_MS)
        serve(first, second, third)
        val text = response.join()
        assertEquals(listOf(1, 2, 3, 4), eventIds(text))
        assertTrue(text.endsWith(lastChunk))
    }

    @Test
    fun `a stream for which no worker appears is broken off and does not look complete`() {
        serve(worker(Script.Reset(stream(1, 2))))
        val text = call("/stream/x")
        assertEquals(listOf(1, 2), eventIds(text))
        assertFalse(text.endsWith(lastChunk))
    }

    /** Guards against a stream that is cut because several workers have just stopped at the same moment. */
    @Test
    fun `a stream for which no connection can be made goes on at a worker that appears soon`() {
        val broken = worker(Script.Reset(stream(1, 2)))
        serve(broken)
        val gone = List(GONE_WORKERS) { worker().also { it.close() } }
        val response = CompletableFuture.supplyAsync { call("/stream/x") }
        while (broken.requests.isEmpty()) Thread.onSpinWait()
        serve(broken, *gone.toTypedArray())
        TimeUnit.MILLISECONDS.sleep(APPEARANCE_MS)
        serve(broken, *gone.toTypedArray(), worker(Script.Send(stream(3) + lastChunk)))
        val text = response.join()
        assertEquals(listOf(1, 2, 3), eventIds(text))
        assertTrue(text.endsWith(lastChunk))
    }

    /** Guards against streams without a target that use up the retry budget of those that have one. */
    @Test
    fun `a stream that waits for a worker takes no retry out of the budget before it is sent`() {
        val budget = context.budgets.of("model")
        loop.submit { while (budget.tryAcquire()) Unit }.sync()
        loop.submit { repeat(2) { budget.onRequest() } }.sync()
        serve(worker(Script.Reset(stream(1, 2))))
        call("/stream/x")
        var retries = 0
        loop.submit { while (budget.tryAcquire()) retries++ }.sync()
        assertEquals(2, retries)
    }

    /** Calls a worker that breaks off after event 2 while the retry budget is used up; another one has the rest. */
    private fun callWithoutBudget(onBroken: () -> Unit): String {
        serve(worker(Script.Reset(stream(1, 2))))
        loop.submit { while (context.budgets.of("model").tryAcquire()) Unit }.sync()
        val response = CompletableFuture.supplyAsync { call("/stream/x") }
        while (workers.single().requests.isEmpty()) Thread.onSpinWait()
        serve(workers.single(), worker(Script.Send(stream(3) + lastChunk)))
        TimeUnit.MILLISECONDS.sleep(APPEARANCE_MS)
        loop.submit(onBroken).sync()
        return response.join()
    }

    /** Guards against a stream that is cut because other requests have used up the retry budget for a moment. */
    @Test
    fun `a stream goes on at another worker once the retry budget allows it`() {
        val text = callWithoutBudget { repeat(2) { context.budgets.of("model").onRequest() } }
        assertEquals(listOf(1, 2, 3), eventIds(text))
        assertTrue(text.endsWith(lastChunk))
    }

    @Test
    fun `a stream is broken off soon and without another request when the retry budget stays used up`() {
        val startedAtNs = System.nanoTime()
        val text = callWithoutBudget { }
        assertTrue(TimeUnit.NANOSECONDS.toMillis(System.nanoTime() - startedAtNs) < GIVEN_UP_MS)
        assertEquals(listOf(1, 2), eventIds(text))
        assertFalse(text.endsWith(lastChunk))
        assertEquals(1, workers.sumOf { it.requests.size })
    }

    private companion object {
        /** As many as a request tries before it counts as unable to connect. */
        const val GONE_WORKERS = 4
        const val GIVEN_UP_MS = 2_500L
        const val APPEARANCE_MS = 300L
    }
}
