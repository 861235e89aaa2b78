package auburnhall.gateway

import org.junit.jupiter.api.Assertions.assertEquals
import org.junit.jupiter.api.Assertions.assertFalse
import org.junit.jupiter.api.Assertions.assertTrue
import org.junit.jupiter.api.DynamicTest
import org.junit.jupiter.api.Test
import org.junit.jupiter.api.TestFactory

/** All ways in which a worker's response ends early, and what its caller gets. */
class BrokenAnswerTest : GatewayFixture() {
    private enum class Delimiter { LENGTH, CHUNKS, NEITHER }

    private enum class End { CLOSED, RESET }

    private enum class Place(
        val text: String,
    ) {
        BEFORE_FIRST(""),
        INSIDE_EVENT("id: 1\ndata: e1\n\nid: 2\nda"),
        BETWEEN_EVENTS("id: 1\ndata: e1\n\n"),
    }

    private fun head(
        delimiter: Delimiter,
        type: String,
    ): String {
        val framing =
            when (delimiter) {
                Delimiter.LENGTH -> "content-length: 1000\r\n"
                Delimiter.CHUNKS -> "transfer-encoding: chunked\r\n"
                Delimiter.NEITHER -> ""
            }
        return "HTTP/1.1 200 OK\r\nid: q1\r\nstamp: s\r\ncontent-type: $type\r\n$framing\r\n"
    }

    private fun broken(
        delimiter: Delimiter,
        end: End,
        place: Place,
        type: String,
    ): Script {
        val body = if (delimiter == Delimiter.CHUNKS && place.text.isNotEmpty()) chunk(place.text) else place.text
        val text = head(delimiter, type) + body
        return if (end == End.CLOSED) Script.Close(text) else Script.Reset(text)
    }

    /** Whether a caller that trusts the framing takes [response] for a complete success. */
    private fun looksWhole(response: String): Boolean =
        response.startsWith("HTTP/1.1 200") && isComplete(StringBuilder(response))

    private val cases =
        Delimiter.values().flatMap { delimiter ->
            End.values().flatMap { end -> Place.values().map { Triple(delimiter, end, it) } }
        }

    @TestFactory
    fun `a stream that breaks off never looks whole`() =
        cases
            .filter { it != Triple(Delimiter.NEITHER, End.CLOSED, Place.BETWEEN_EVENTS) }
            .map { (delimiter, end, place) ->
                DynamicTest.dynamicTest("$delimiter $end $place") {
                    val script = broken(delimiter, end, place, "text/event-stream")
                    serve(worker(script), worker(script))
                    assertFalse(looksWhole(call("/stream/x")))
                }
            }

    @TestFactory
    fun `a plain answer that breaks off never looks whole`() =
        cases
            .filter { (delimiter, end, _) -> delimiter != Delimiter.NEITHER || end != End.CLOSED }
            .map { (delimiter, end, place) ->
                DynamicTest.dynamicTest("$delimiter $end $place") {
                    serve(worker(broken(delimiter, end, place, "text/plain")))
                    assertFalse(looksWhole(call("/unsafe/x", method = "POST")))
                }
            }

    private fun closedAfter(vararg ids: Int) =
        Script.Close(
            head(Delimiter.NEITHER, "text/event-stream") + ids.joinToString("") { "id: $it\ndata: e$it\n\n" },
        )

    /** Calls two workers: the first closes a stream that states no end after event 2, the other does [resumed]. */
    private fun callCutAfterTwo(resumed: Script): String {
        val script = Script.Resumable(closedAfter(1, 2), resumed)
        serve(worker(script), worker(script))
        return call("/stream/x")
    }

    @Test
    fun `a stream without length or chunks that is cut between two events is continued by another worker`() {
        val response = callCutAfterTwo(Script.Send(stream(3, 4) + lastChunk))
        assertEquals(listOf(1, 2, 3, 4), eventIds(response))
        assertTrue(looksWhole(response))
    }

    @Test
    fun `a stream without length or chunks is complete when another worker has no more events`() {
        val response = callCutAfterTwo(Script.Send(stream() + lastChunk))
        assertEquals(listOf(1, 2), eventIds(response))
        assertTrue(looksWhole(response))
        assertEquals(2, workers.sumOf { it.requests.size })
    }

    @Test
    fun `a stream without length or chunks is complete when another worker ends it after the same event`() {
        assertTrue(looksWhole(callCutAfterTwo(closedAfter())))
    }

    @Test
    fun `a stream that was cut between two events and then breaks off at the other worker does not look whole`() {
        assertFalse(looksWhole(callCutAfterTwo(Script.Reset(stream(3)))))
        assertFalse(looksWhole(callCutAfterTwo(Script.Reset(""))))
        assertFalse(looksWhole(callCutAfterTwo(Script.Close(stream(3)))))
    }

    @Test
    fun `a stream without length or chunks is complete when the other worker is full or silent`() {
        val full = "HTTP/1.1 503 Busy\r\nid: q1\r\nnotrun: 1\r\ncontent-length: 0\r\n\r\n"
        assertTrue(looksWhole(callCutAfterTwo(Script.Send(full))))
        assertTrue(looksWhole(callCutAfterTwo(Script.NoResponse)))
    }

    @Test
    fun `the end of a stream is not checked at a worker without a free slot`() {
        serve(worker(closedAfter(1, 2)))
        assertTrue(looksWhole(call("/stream/x")))
        val busy = worker(Script.Resumable(closedAfter(1, 2), Script.Send(stream(3) + lastChunk)))
        val other = worker(Script.Resumable(closedAfter(1, 2), Script.Send(stream(3) + lastChunk)))
        serve(busy, other)
        loop
            .submit {
                context.state.targets
                    .of("model", "m")
                    .forEach { repeat(it.slots) { _ -> load.begin(it.key, 0) } }
            }.sync()
        val response = call("/stream/x")
        assertEquals(listOf(1, 2), eventIds(response))
        assertTrue(looksWhole(response))
    }

    @Test
    fun `a stream whose last event has no id is not continued by another run`() {
        val head = head(Delimiter.CHUNKS, "text/event-stream")
        val whole = Script.Send(head + chunk("data: e1\n\n") + chunk("data: e2\n\n") + lastChunk)
        val script = Script.Reset(head + chunk("data: e1\n\n"))
        serve(worker(script, whole), worker(script, whole))
        assertFalse(looksWhole(call("/stream/x")))
        assertEquals(1, workers.sumOf { it.requests.size })
    }

    @Test
    fun `a stream is continued after a comment without an id`() {
        val broken = Script.Reset(stream(1) + chunk(": still here\n\n"))
        val script = Script.Resumable(broken, Script.Send(stream(2) + lastChunk))
        serve(worker(script), worker(script))
        assertEquals(listOf(1, 2), eventIds(call("/stream/x")))
    }
}
