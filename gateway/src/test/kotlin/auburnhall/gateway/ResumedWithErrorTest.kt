package auburnhall.gateway

import org.junit.jupiter.api.Assertions.assertEquals
import org.junit.jupiter.api.Assertions.assertFalse
import org.junit.jupiter.api.Assertions.assertTrue
import org.junit.jupiter.api.Test
import java.util.concurrent.CountDownLatch

/** Streams that break off, and whose next worker answers with something else than their events. */
class ResumedWithErrorTest : FaultyWorkerFixture() {
    private data class Answer(
        val status: String,
        val fields: String,
        val body: String,
    )

    private val answers =
        listOf("500 Failed", "404 Unknown", "503 Full", "502 Bad").flatMap { status ->
            val notRun = "notrun: 1\r\n".takeIf { status == "503 Full" }
            val signedStream = "content-type: text/event-stream\r\nstamp: s\r\n"
            listOfNotNull("", notRun, "stamp: s\r\n", signedStream).map {
                Answer(status, it, "id: 3\ndata: error\n\nan error")
            }
        } +
            listOf(
                Answer("200 OK", "content-type: text/plain\r\nstamp: s\r\n", "id: 3\ndata: error\n\n"),
                Answer("200 OK", "stamp: s\r\n", "id: 3\ndata: error\n\n"),
                Answer("200 OK", "content-type: text/event-stream\r\n", "id: 3\ndata: error\n\n"),
                Answer(
                    "200 OK",
                    "content-type: text/event-stream\r\nstamp: s\r\ncontent-encoding: gzip\r\n",
                    "id: 3\ndata: error\n\n",
                ),
                Answer("204 Nothing", "content-type: text/plain\r\nstamp: s\r\n", ""),
                Answer("304 Same", "stamp: s\r\n", ""),
            )

    /** The response with [answer] to the request [id], with a length, in chunks, and with neither. */
    private fun framed(
        answer: Answer,
        id: String,
    ): List<String> {
        val head = "HTTP/1.1 ${answer.status}\r\nid: $id\r\n${answer.fields}"
        val chunks = if (answer.body.isEmpty()) lastChunk else chunk(answer.body) + lastChunk
        return listOf(
            "${head}content-length: ${answer.body.length}\r\n\r\n${answer.body}",
            "${head}transfer-encoding: chunked\r\n\r\n$chunks",
            "$head\r\n${answer.body}",
        )
    }

    /** Open once the caller has the second event: a reset drops what the gateway has not read. */
    @Volatile
    private var received = CountDownLatch(0)

    private val event = { number: Int -> "id: $number\ndata: e$number\n\n" }

    private fun chunkedStart(id: String) = stream(1, 2).replace("id: q1\r\n", "id: $id\r\n")

    private fun unstatedStart(id: String) =
        "HTTP/1.1 200 OK\r\nid: $id\r\nstamp: s\r\ncontent-type: text/event-stream\r\n\r\n${event(1)}${event(2)}"

    /** How a stream breaks off after its second event; the last one does not show it. */
    private val breaks =
        listOf<(String) -> Script>(
            { Script.Reset(chunkedStart(it), received) },
            { Script.Close(chunkedStart(it)) },
            { Script.Close(chunkedStart(it) + chunk("id: 3\nda")) },
            { Script.Reset(unstatedStart(it), received) },
            { Script.Close(unstatedStart(it) + "id: 3\nda") },
            { Script.Close(unstatedStart(it)) },
        )

    /** Calls a stream that breaks off in the given way; the next worker does what [resumed] says. */
    private fun play(
        breakOff: (String) -> Script,
        resumed: (String) -> Script,
    ): Received {
        val latch = CountDownLatch(1)
        received = latch
        onReceived = { if (event(2) in it) latch.countDown() }
        next = { if (it.resumes) resumed(it.id) else breakOff(it.id) }
        return exchange("/stream/x", newId("s"), WAIT_MS)
    }

    @Volatile
    private var next: (WorkerRequest) -> Script = { Script.NoResponse }

    /** The response has the two events and nothing else; only an end that was not shown may look like one. */
    private fun check(
        received: Received,
        kind: Int,
        form: String,
    ) {
        assertEquals(event(1) + event(2), received.body, "$form: $received")
        if (kind < breaks.lastIndex) assertFalse(received.whole, "$form: $received")
    }

    private data class Form(
        val kind: Int,
        val answer: Answer,
        val framing: Int,
        val end: Int,
    )

    private val ends = listOf<(String) -> Script>(Script::Close, { Script.Reset(it) }, Script::Send)

    /** All that end; those after which the stream waits for another worker only once. */
    private val forms =
        breaks.indices
            .flatMap { kind ->
                answers.flatMap { answer ->
                    framed(answer, "").indices.flatMap { framing ->
                        ends.indices.map { end -> Form(kind, answer, framing, end) }
                    }
                }
            }.filterNot { it.framing == UNSTATED && it.end == ends.lastIndex }
            .filterNot { "notrun" in it.answer.fields && it.kind + it.framing + it.end > 0 }

    /** Guards against the text of an error, or its head, in the middle of a stream (ORDER, MIXED). */
    @Test
    fun `a stream whose next worker answers with an error has its own events only, and does not look complete`() {
        serveBy(2) { next(it) }
        for (form in forms) {
            val received = play(breaks[form.kind]) { ends[form.end](framed(form.answer, it)[form.framing]) }
            check(received, form.kind, "$form")
        }
        println("${forms.size} forms")
    }

    /** Guards against a part of a head, or of an error, that becomes a part of a stream (ORDER, MIXED). */
    @Test
    fun `a stream whose next worker breaks off an error at any byte has its own events only`() {
        serveBy(2) { next(it) }
        val cutAnswers = listOf(answers.first(), answers.first { "event-stream" in it.fields })
        val cutForms = forms.filter { it.kind in CUT_KINDS && it.answer in cutAnswers && it.end == 0 }
        cutForms.forEach(::playCuts)
    }

    private fun playCuts(form: Form) {
        for (cut in 1 until framed(form.answer, newId("s"))[form.framing].length) {
            val received = play(breaks[form.kind]) { Script.Close(framed(form.answer, it)[form.framing].take(cut)) }
            check(received, form.kind, "$form, cut at $cut")
        }
    }

    /** Guards against a stream that a worker without more events ends, though its events were not all sent (ORDER). */
    @Test
    fun `a stream that no other worker has events of ends as complete only if one of them states the end`() {
        serveBy(2) { next(it) }
        val head = { id: String -> "HTTP/1.1 200 OK\r\nid: $id\r\nstamp: s\r\ncontent-type: text/event-stream\r\n" }
        for (kind in 0 until breaks.lastIndex) {
            val unstated = play(breaks[kind]) { Script.Close(head(it) + "\r\n") }
            check(unstated, kind, "break $kind, nothing stated")
            val cut = play(breaks[kind]) { Script.Close(head(it) + "transfer-encoding: chunked\r\n\r\n") }
            check(cut, kind, "break $kind, no last chunk")
            val stated = play(breaks[kind]) { Script.Send(head(it) + "content-length: 0\r\n\r\n") }
            assertEquals(event(1) + event(2), stated.body)
            assertTrue(stated.whole)
        }
    }

    private companion object {
        const val UNSTATED = 2

        /** The first break and the one that is not shown. */
        val CUT_KINDS = listOf(0, 5)
        const val WAIT_MS = 2_000
    }
}
