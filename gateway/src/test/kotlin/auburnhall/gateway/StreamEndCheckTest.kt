package auburnhall.gateway

import org.junit.jupiter.api.Assertions.assertEquals
import org.junit.jupiter.api.Assertions.assertTrue
import org.junit.jupiter.api.Test

/** Streams that end with their connection, and whose end is checked at a replica that is silent. */
class StreamEndCheckTest : GatewayFixture() {
    private val unframed =
        "HTTP/1.1 200 OK\r\nid: q1\r\nstamp: s\r\ncontent-type: text/event-stream\r\n\r\n" +
            "id: 1\ndata: e1\n\nid: 2\ndata: e2\n\n"

    /** Guards against a complete stream that is cut because its check was sent on and another worker failed it. */
    @Test
    fun `the check of the end of a stream is not moved from a silent replica`() {
        val silentThenReset = listOf(Script.NoResponse, Script.Reset("")).iterator()
        val resumed = Script.Chosen { if (silentThenReset.hasNext()) silentThenReset.next() else Script.NoResponse }
        val script = Script.Resumable(Script.Close(unframed), resumed)
        serve(worker(script), worker(script), worker(script))
        val response = call("/stream-3/x")
        assertEquals(listOf(1, 2), eventIds(response))
        assertTrue(response.endsWith(lastChunk))
        assertEquals(2, workers.sumOf { it.requests.size })
    }
}
