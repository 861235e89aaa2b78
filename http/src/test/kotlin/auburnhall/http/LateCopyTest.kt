package auburnhall.http

import io.netty.buffer.Unpooled
import io.netty.channel.embedded.EmbeddedChannel
import io.netty.handler.codec.http.DefaultHttpContent
import org.junit.jupiter.api.AfterEach
import org.junit.jupiter.api.Assertions.assertEquals
import org.junit.jupiter.api.Assertions.assertTrue
import org.junit.jupiter.api.Test
import org.junit.jupiter.api.assertAll
import java.net.Socket
import java.util.concurrent.TimeUnit

/** A late copy of an earlier response that takes the next one as a part of its own. */
class LateCopyTest {
    private val worker = WorkerCalls(TIMEOUT_MS)

    @AfterEach
    fun close() = worker.close()

    private fun response(
        id: String,
        body: String = "the response to $id",
    ) = "${head(id)}Content-Length: ${body.length}\r\n\r\n$body"

    private fun head(id: String) = "HTTP/1.1 200 OK\r\nAttempt-Id: $id\r\n"

    private fun own(id: String) = Outcome(OK, "the response to $id")

    /** Calls a worker that does [respond] with each request but the first on a connection. */
    private fun callAfterCopies(
        rounds: Int,
        respond: (id: String, earlier: String, socket: Socket) -> Unit,
    ): List<Pair<String, Outcome>> {
        worker.serve { id, earlier, socket ->
            if (earlier == null) socket.say(response(id)) else respond(id, earlier, socket)
        }
        return (1..rounds).map {
            assertEquals(own("first$it"), worker.call("first$it"))
            "next$it" to worker.call("next$it")
        }
    }

    private fun assertOwnOrFailedSoon(outcomes: List<Pair<String, Outcome>>) =
        assertAll(
            outcomes.map { (id, outcome) ->
                {
                    assertTrue(outcome == own(id) || outcome.failure != null, "$id: $outcome")
                    assertTrue(outcome.failure != NO_RESPONSE, "$id waited until its deadline")
                }
            },
        )

    /** Guards against a call that waits until its deadline for a response that a cut copy took as its rest. */
    @Test
    fun `a copy cut inside its length does not hold the next call`() {
        val outcomes =
            callAfterCopies(ROUNDS) { id, earlier, socket ->
                val copy = response(earlier)
                socket.say(copy.dropLast(1 + id.removePrefix("next").toInt() % BODY_BYTES) + response(id))
            }
        assertOwnOrFailedSoon(outcomes)
    }

    @Test
    fun `a copy cut inside a chunk does not hold the next call`() {
        val copy = { id: String -> head(id) + "Transfer-Encoding: chunked\r\n\r\n1000\r\n" + "x".repeat(CUT_BYTES) }
        assertOwnOrFailedSoon(
            callAfterCopies(ROUNDS) { id, earlier, socket -> socket.say(copy(earlier) + response(id)) },
        )
    }

    @Test
    fun `a copy that takes the awaited response fails the call by the id in it`() {
        val outcomes =
            callAfterCopies(ROUNDS) { id, earlier, socket ->
                socket.say("${head(earlier)}Content-Length: 100000\r\n\r\nbegin" + response(id))
            }
        outcomes.forEach { (id, outcome) -> assertEquals(SWALLOWED, outcome.failure, id) }
    }

    /** Guards against an id that is not seen because it arrives in two parts. */
    @Test
    fun `an id is seen in dropped bytes wherever they are split`() {
        val text = "begin" + response(ID)
        for (cut in text.indices) {
            val faults = ArrayList<String>()
            val own = Correlation("Attempt-Id", ID)
            val dropped = DroppedResponses(own, EmbeddedChannel().eventLoop()) { faults.add(it) }
            dropped.onLate(Framing.LENGTH)
            listOf(text.take(cut), text.drop(cut)).forEach {
                if (faults.isEmpty()) dropped.onContent(DefaultHttpContent(Unpooled.wrappedBuffer(it.toByteArray())))
            }
            assertEquals(listOf(SWALLOWED), faults, "cut at $cut")
        }
    }

    @Test
    fun `a copy without length or chunks, which cannot end, fails the call`() {
        val outcomes =
            callAfterCopies(ROUNDS) { id, earlier, socket -> socket.say("${head(earlier)}\r\nbody" + response(id)) }
        outcomes.forEach { (id, outcome) -> assertEquals("late response without an end", outcome.failure, id) }
    }

    @Test
    fun `a copy that does not end fails the call`() {
        val outcomes =
            callAfterCopies(rounds = 2) { _, earlier, socket -> socket.say(response(earlier).dropLast(1)) }
        assertOwnOrFailedSoon(outcomes)
    }

    @Test
    fun `a copy that ends late, but soon, does not fail the call`() {
        val outcomes =
            callAfterCopies(rounds = 2) { id, earlier, socket ->
                val text = response(earlier)
                socket.say(text.dropLast(1))
                TimeUnit.MILLISECONDS.sleep(PAUSE_MS)
                socket.say(text.takeLast(1))
                TimeUnit.MILLISECONDS.sleep(LONG_PAUSE_MS)
                socket.say(response(id))
            }
        outcomes.forEach { (id, outcome) -> assertEquals(own(id), outcome) }
    }

    /** Guards against a late copy that is taken for the response to a request that has no id to tell it by. */
    @Test
    fun `a late copy is not taken for the response to a request without an id`() {
        worker.serve { id, earlier, socket -> socket.say(earlier?.let(::response).orEmpty() + response(id)) }
        repeat(ROUNDS) {
            assertEquals(own("first$it"), worker.call("first$it"))
            assertEquals(own("next$it"), worker.callWithoutId("next$it"))
            assertEquals(own("last$it"), worker.callWithoutId("last$it"))
            assertEquals(own("then$it"), worker.call("then$it"))
        }
    }

    /** Guards against a response whose head is read as the trailers of a copy, and whose body as the next response. */
    @Test
    fun `a copy cut before the end of its trailers does not take the next head, nor hold its call`() {
        val copy = { id: String -> head(id) + "Transfer-Encoding: chunked\r\n\r\n5\r\nhello\r\n0\r\n\r\n" }
        val outcomes =
            callAfterCopies(ROUNDS) { id, earlier, socket ->
                val empty = "${head(id)}Content-Length: 0\r\n\r\n"
                val cut = 1 + id.removePrefix("next").toInt() % TRAILER_BYTES
                socket.say(copy(earlier).dropLast(cut) + empty)
            }
        outcomes.forEach { (id, outcome) ->
            assertTrue(outcome == Outcome(OK, "") || outcome.failure != null, "$id: $outcome")
            assertTrue(outcome.failure != NO_RESPONSE, "$id waited until its deadline")
        }
    }

    /** Guards against trailers that are the head of a second copy of the same response. */
    @Test
    fun `a response whose trailers are the head of another one is a failure`() {
        worker.serve { id, _, socket ->
            val broken = "${head(id)}Transfer-Encoding: chunked\r\n\r\n5\r\nhello\r\n0\r\n"
            socket.say(broken + if (id == "id") "Attempt-Id: a\r\n\r\n" else response(id))
        }
        listOf("id", "copy").forEach { id ->
            val outcome = worker.call(id)
            assertTrue(outcome.failure != null && outcome.failure != NO_RESPONSE, "$id: $outcome")
        }
    }

    /** Guards against a body whose missing rest is the beginning of a second copy. */
    @Test
    fun `a response cut inside its length and followed by a second copy is a failure`() {
        worker.serve { id, _, socket -> socket.say(response(id).dropLast(id.removePrefix("n").toInt()) + response(id)) }
        for (cut in 1..BODY_BYTES) {
            val outcome = worker.call("n$cut")
            assertTrue(outcome.failure != null && outcome.failure != NO_RESPONSE, "n$cut: $outcome")
        }
    }

    private companion object {
        const val TRAILER_BYTES = 6
        const val TIMEOUT_MS = 3_000
        const val ROUNDS = 5
        const val PAUSE_MS = 20L
        const val LONG_PAUSE_MS = 600L
        const val BODY_BYTES = 10
        const val CUT_BYTES = 10
        const val OK = 200
        const val ID = "3f9c3f9d"
        const val NO_RESPONSE = "no response"
        const val SWALLOWED = "late response that contains the awaited one"
    }
}
