package auburnhall.http

import io.netty.handler.codec.http.HttpMethod
import org.junit.jupiter.api.AfterEach
import org.junit.jupiter.api.Assertions.assertEquals
import org.junit.jupiter.api.Assertions.assertTrue
import org.junit.jupiter.api.Test
import java.net.Socket
import java.util.concurrent.TimeUnit
import kotlin.random.Random

/** A worker that responds twice, the second time late, whole or broken off at any byte. */
class StutteringWorkerTest {
    private val worker = WorkerCalls(TIMEOUT_MS)

    @AfterEach
    fun close() = worker.close()

    private fun call(
        id: String,
        method: HttpMethod = HttpMethod.POST,
    ) = worker.call(id, method)

    private fun serve(respond: (id: String, earlier: String?, socket: Socket) -> Unit) = worker.serve(respond)

    /** The response to [id], whose status and body follow from it. */
    private fun response(
        id: String,
        fields: List<String> = listOf("Content-Type: text/plain", "Attempt-Id: $id", "Response-Stamp: stamp-$id"),
    ): String {
        val body = bodyOf(id)
        val status = if (statusOf(id) == OK) "200 OK" else "500 Internal Server Error"
        return "HTTP/1.1 $status\r\n${fields.joinToString("") { "$it\r\n" }}Content-Length: ${body.length}\r\n\r\n$body"
    }

    private fun bodyOf(id: String) = "the response to $id"

    private fun statusOf(id: String) = if (id.hashCode() % 2 == 0) OK else FAILED

    private fun expected(id: String) = Outcome(statusOf(id), bodyOf(id))

    /** Guards against the rest of an earlier response that is taken for the beginning of the next one. */
    @Test
    fun `the beginning of a second copy behind a response does not become a part of the next one`() {
        serve { id, _, socket -> socket.say(response(id) + BEGINNING) }
        repeat(ROUNDS) { assertEquals(expected("n$it"), call("n$it")) }
    }

    /** Guards against bytes that come while nothing was asked, and are read as a part of the next response. */
    @Test
    fun `the beginning of a second copy that comes on an idle connection does not become a part of the next one`() {
        serve { id, _, socket ->
            socket.say(response(id))
            TimeUnit.MILLISECONDS.sleep(PAUSE_MS)
            socket.say(BEGINNING)
        }
        repeat(ROUNDS) {
            assertEquals(expected("n$it"), call("n$it"))
            awaitStrays(it + 1)
        }
    }

    private fun awaitStrays(count: Int) {
        val deadlineNanos = System.nanoTime() + TimeUnit.SECONDS.toNanos(STRAY_TIMEOUT_S)
        while (worker.strays.size < count && System.nanoTime() < deadlineNanos) TimeUnit.MILLISECONDS.sleep(1)
        assertEquals(count, worker.strays.size)
    }

    /** Guards against a status line of an earlier response that is believed for the next one. */
    @Test
    fun `the beginning of a second copy just before a response makes it a failure at most`() {
        serve { id, earlier, socket -> socket.say((if (earlier == null) "" else BEGINNING) + response(id)) }
        repeat(ROUNDS) {
            val outcome = call("n$it")
            assertTrue(outcome == expected("n$it") || outcome.failure != null, "n$it: $outcome")
        }
    }

    /** Guards against a response that names no request and is passed on as that to whichever is waiting. */
    @Test
    fun `a late response without an id is not taken for that to the next request`() {
        serve { id, earlier, socket ->
            val late = earlier?.let { response(it, listOf("Content-Type: text/plain", "Response-Stamp: stamp-$it")) }
            socket.say(late.orEmpty() + response(id))
        }
        repeat(ROUNDS) {
            val outcome = call("n$it")
            assertTrue(outcome == expected("n$it") || outcome.failure != null, "n$it: $outcome")
        }
    }

    /** Guards against a second copy of a rejection that is taken for the response to another attempt of the request. */
    @Test
    fun `a late copy of the response to an earlier attempt is not taken for that to a later one of the same request`() {
        val attempts = HashMap<String, Int>()
        serve { id, earlier, socket ->
            val attempt = attempts.merge(id, 1, Int::plus)
            val late = if (earlier == id) "HTTP/1.1 503 Full\r\nAttempt-Id: $id\r\nContent-Length: 0\r\n\r\n" else ""
            val first = "HTTP/1.1 503 Full\r\nAttempt-Id: $id\r\nContent-Length: 0\r\n\r\n"
            socket.say(if (attempt == 1) first else late + response(id))
        }
        repeat(ROUNDS) {
            assertEquals(Outcome(UNAVAILABLE, ""), call("n$it"))
            assertEquals(expected("n$it"), call("n$it"))
        }
    }

    /** Guards against a second copy that is read as one without a body, since a request without one is waiting. */
    @Test
    fun `a late copy does not shift which response has a body`() {
        serve { id, earlier, socket ->
            val head = response(id).substringBefore("\r\n\r\n") + "\r\n\r\n"
            val own = if (id.startsWith("head")) head else response(id)
            socket.say((earlier?.takeIf { !it.startsWith("head") }?.let(::response).orEmpty()) + own)
        }
        repeat(ROUNDS) {
            assertEquals(expected("n$it"), call("n$it"))
            assertEquals(Outcome(statusOf("head$it"), ""), call("head$it", HttpMethod.HEAD))
        }
    }

    @Test
    fun `with second copies broken off at any byte and at any moment, each response is its own, or a failure`() {
        println("seeds = 1..$SEEDS")
        for (seed in 1..SEEDS) {
            val random = Random(seed)
            val outcomes = play(seed, random)
            outcomes.forEach { (id, outcome) ->
                assertTrue(outcome == expected(id) || outcome.failure != null, "seed $seed, $id: $outcome")
            }
        }
    }

    private fun play(
        seed: Int,
        random: Random,
    ): Map<String, Outcome> {
        val fields = { id: String ->
            listOf(
                "Content-Type: text/plain",
                "Attempt-Id: $id",
                "Response-Stamp: stamp-$id",
                "Server: w",
            ).shuffled(random)
        }
        respondWith { id, earlier, socket ->
            val copy = earlier?.let { response(it, fields(it)) }.orEmpty()
            val part = copy.take(random.nextInt(copy.length + 1))
            when (random.nextInt(4)) {
                0 -> socket.say(response(id, fields(id)))
                1 -> socket.say(part + response(id, fields(id)))
                2 -> socket.say(response(id, fields(id)) + part)
                else -> {
                    socket.say(response(id, fields(id)))
                    TimeUnit.MILLISECONDS.sleep(1)
                    socket.say(part)
                }
            }
        }
        return (1..CALLS_PER_SEED).associate { "s$seed-$it" to call("s$seed-$it") }
    }

    private var current: ((String, String?, Socket) -> Unit)? = null

    private fun respondWith(respond: (id: String, earlier: String?, socket: Socket) -> Unit) {
        if (current == null) serve { id, earlier, socket -> current?.invoke(id, earlier, socket) }
        current = respond
    }

    private companion object {
        const val ROUNDS = 20
        const val SEEDS = 60
        const val CALLS_PER_SEED = 10
        const val TIMEOUT_MS = 400
        const val PAUSE_MS = 20L
        const val STRAY_TIMEOUT_S = 5L
        const val OK = 200
        const val FAILED = 500
        const val UNAVAILABLE = 503
        const val BEGINNING = "HTTP/1.1 200 OK\r\nContent-Type: text/pl"
    }
}
