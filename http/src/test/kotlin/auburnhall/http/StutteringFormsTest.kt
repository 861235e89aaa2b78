package auburnhall.http

import io.netty.handler.codec.http.HttpMethod
import org.junit.jupiter.api.AfterEach
import org.junit.jupiter.api.Assertions.assertTrue
import org.junit.jupiter.api.Test
import java.net.Socket
import java.util.concurrent.TimeUnit
import kotlin.random.Random

/** Second copies of responses in all framings, whole or broken off at any byte: none reaches a call, or holds it. */
class StutteringFormsTest {
    private enum class Form { LENGTH, CHUNKS, STREAM, EMPTY, NO_CONTENT, HEAD, CLOSE }

    /** Where a worker puts a second copy, or what it does with it. */
    private enum class Place { NONE, BEFORE, TWICE_BEFORE, WITHOUT_ID, INTERIM, BEHIND, LATER, IN_TWO_PARTS }

    private val worker = WorkerCalls(TIMEOUT_MS)

    @AfterEach
    fun close() = worker.close()

    private fun form(id: String) = Form.valueOf(id.substringBefore('-'))

    private fun body(id: String): String =
        when (form(id)) {
            Form.LENGTH, Form.CHUNKS, Form.CLOSE -> "the response to $id"
            Form.STREAM -> "id: 1\ndata: $id\n\nid: 2\ndata: $id\n\n"
            Form.EMPTY, Form.NO_CONTENT, Form.HEAD -> ""
        }

    private fun status(id: String): Int =
        when {
            form(id) == Form.NO_CONTENT -> NO_CONTENT
            id.hashCode() % 2 == 0 -> OK
            else -> FAILED
        }

    private fun framed(id: String): String =
        when (form(id)) {
            Form.LENGTH, Form.EMPTY -> "Content-Length: ${body(id).length}\r\n\r\n${body(id)}"
            Form.HEAD -> "Content-Length: 25\r\n\r\n"
            Form.NO_CONTENT -> "\r\n"
            Form.CLOSE -> "\r\n${body(id)}"
            Form.CHUNKS, Form.STREAM ->
                "Transfer-Encoding: chunked\r\n\r\n" +
                    body(id).chunked(CHUNK_BYTES).joinToString("") { "${it.length.toString(radix = 16)}\r\n$it\r\n" } +
                    "0\r\n\r\n"
        }

    private fun response(
        id: String,
        random: Random,
        withId: Boolean = true,
    ): String {
        val fields = listOf("Content-Type: text/plain", "Attempt-Id: $id", "Response-Stamp: stamp-$id", "Server: w")
        val sent = fields.filter { withId || !it.startsWith("Attempt-Id") }.shuffled(random)
        return "HTTP/1.1 ${status(id)} Reason\r\n${sent.joinToString("") { "$it\r\n" }}${framed(id)}"
    }

    private fun expected(id: String) = Outcome(status(id), body(id))

    private fun cut(
        text: String,
        random: Random,
    ) = text.take(random.nextInt(text.length + 1))

    private fun respond(
        id: String,
        earlier: String?,
        socket: Socket,
        random: Random,
    ) {
        val own = response(id, random)
        val copy = earlier?.let { response(it, random) }.orEmpty()
        when (Place.values().random(random)) {
            Place.NONE -> socket.say(own)
            Place.BEFORE -> socket.say(cut(copy, random) + own)
            Place.TWICE_BEFORE -> socket.say(copy + cut(copy, random) + own)
            Place.WITHOUT_ID ->
                socket.say(earlier?.let { cut(response(it, random, withId = false), random) }.orEmpty() + own)
            Place.INTERIM -> socket.say(cut(INTERIM, random) + own)
            Place.BEHIND -> socket.say(own + if (form(id) == Form.CLOSE) own else cut(own, random))
            Place.LATER -> sayLater(socket, own, if (form(id) == Form.CLOSE) own else cut(own, random))
            Place.IN_TWO_PARTS -> sayLater(socket, cut(copy, random), own)
        }
        if (form(id) == Form.CLOSE) socket.close()
    }

    private fun sayLater(
        socket: Socket,
        first: String,
        then: String,
    ) {
        socket.say(first)
        TimeUnit.MILLISECONDS.sleep(1)
        socket.say(then)
    }

    @Test
    fun `with copies in any framing, cut at any byte, each response is its own, or a failure, and soon`() {
        println("seeds = 1..$SEEDS")
        lateinit var random: Random
        worker.serve { id, earlier, socket -> respond(id, earlier, socket, random) }
        for (seed in 1..SEEDS) {
            random = Random(seed)
            val forms = Random(-seed)
            repeat(CALLS_PER_SEED) {
                val id = "${Form.values().random(forms)}-$seed-$it"
                val outcome = worker.call(id, if (form(id) == Form.HEAD) HttpMethod.HEAD else HttpMethod.POST)
                val right = outcome == expected(id) || outcome.failure != null
                assertTrue(right && outcome.failure != NO_RESPONSE, "seed $seed, $id: $outcome")
            }
        }
    }

    private companion object {
        const val SEEDS = 60
        const val CALLS_PER_SEED = 20
        const val TIMEOUT_MS = 2_000
        const val CHUNK_BYTES = 9
        const val OK = 200
        const val NO_CONTENT = 204
        const val FAILED = 500
        const val INTERIM = "HTTP/1.1 102 Processing\r\nServer: w\r\n\r\n"
        const val NO_RESPONSE = "no response"
    }
}
