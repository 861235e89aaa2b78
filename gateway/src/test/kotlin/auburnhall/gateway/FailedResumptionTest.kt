package auburnhall.gateway

import org.junit.jupiter.api.Assertions.assertEquals
import org.junit.jupiter.api.Assertions.assertFalse
import org.junit.jupiter.api.Assertions.assertTrue
import org.junit.jupiter.api.DynamicTest
import org.junit.jupiter.api.TestFactory
import java.util.concurrent.atomic.AtomicInteger

/** Streams that break off, and whose second worker responds with something else than the events that are left. */
class FailedResumptionTest : GatewayFixture() {
    private val answers =
        mapOf(
            "500" to full("FAULT", "500 Internal Server Error"),
            "503 that does not say it has not run" to full("FAULT", "503 Busy"),
            "404" to full("FAULT", "404 Not Found"),
            "200 without events" to full("FAULT"),
        )

    /** Guards against a stream that is cut because one worker fails, although others may still be tried. */
    @TestFactory
    fun `a stream goes on at a third worker when the second one answers with`() =
        answers.map { (name, answer) ->
            DynamicTest.dynamicTest(name) {
                val response = call("/stream-3/x", answer)
                assertEquals(listOf(1, 2, 3), eventIds(response))
                assertTrue(response.endsWith(lastChunk))
            }
        }

    @TestFactory
    fun `a stream without attempts left is broken off, and its caller gets no byte of`() =
        answers.map { (name, answer) ->
            DynamicTest.dynamicTest(name) {
                val response = call("/stream/x", answer)
                assertEquals(listOf(1, 2), eventIds(response))
                assertFalse(response.endsWith(lastChunk))
                assertEquals(2, workers.sumOf { it.requests.size })
            }
        }

    /** The first worker breaks off after event 2, the second one sends [answer], and the third one the rest. */
    private fun call(
        path: String,
        answer: String,
    ): String {
        workers.forEach { it.close() }
        workers.clear()
        val resumptions = AtomicInteger()
        val rest = stream(3) + lastChunk
        val resumed = Script.Chosen { Script.Send(if (resumptions.incrementAndGet() == 1) answer else rest) }
        val script = Script.Resumable(Script.Reset(stream(1, 2)), resumed)
        serve(worker(script), worker(script), worker(script))
        val response = call(path)
        assertFalse("FAULT" in response)
        return response
    }
}
