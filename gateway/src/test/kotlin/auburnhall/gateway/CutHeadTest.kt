package auburnhall.gateway

import org.junit.jupiter.api.Assertions.assertEquals
import org.junit.jupiter.api.Assertions.assertFalse
import org.junit.jupiter.api.Assertions.assertNotEquals
import org.junit.jupiter.api.Test

/** Workers that stop in the middle of the head of a success and end the connection, at each byte of it. */
class CutHeadTest : FaultyWorkerFixture() {
    private enum class Before { NEW_CONNECTION, KEPT_CONNECTION, INTERIM_HEAD }

    private val framings = listOf("content-length: 12\r\n", "transfer-encoding: chunked\r\n", "")
    private val ends = listOf<(String) -> Script>(Script::Close, { Script.Reset(it) })

    @Volatile
    private var next: (WorkerRequest) -> Script = { Script.NoResponse }

    private fun head(
        id: String,
        type: String,
        framing: String,
    ) = "HTTP/1.1 200 OK\r\nid: $id\r\nstamp: s\r\ncontent-type: $type\r\n$framing\r\n"

    private data class Form(
        val before: Before,
        val framing: String,
        val end: Int,
        val cut: Int,
    )

    /** Each byte for a connection that is closed, some for one that is reset. */
    private fun forms(type: String): List<Form> =
        Before
            .values()
            .flatMap { before ->
                framings.flatMap { framing ->
                    (0 until head(newId("cut"), type, framing).length).flatMap { cut ->
                        ends.indices.map { end -> Form(before, framing, end, cut) }
                    }
                }
            }.filter { it.end == 0 || it.cut % RESET_STEP == 0 }

    /** Calls [check] with what a caller of [path] gets for each form. */
    private fun playAll(
        path: String,
        type: String,
        play: (cutHead: (String) -> Script) -> Received = { cut -> answer(path, cut) },
        check: (String, Received) -> Unit,
    ) {
        serveBy(2) { next(it) }
        val forms = forms(type)
        for (form in forms) {
            if (form.before == Before.KEPT_CONNECTION) warmUp()
            val interim = if (form.before == Before.INTERIM_HEAD) "HTTP/1.1 102 Wait\r\n\r\n" else ""
            val received = play { ends[form.end](interim + head(it, type, form.framing).take(form.cut)) }
            check("$form", received)
        }
        println("$path $type: ${forms.size} forms")
    }

    private fun answer(
        path: String,
        cut: (String) -> Script,
    ): Received {
        next = { cut(it.id) }
        return exchange(path, newId("cut"))
    }

    /** Leaves a kept connection to a worker. */
    private fun warmUp() {
        next = { Script.Send(full("warm", id = it.id)) }
        assertEquals(OK, exchange("/safe/x", newId("warm")).status)
    }

    private fun assertNoSuccess(
        form: String,
        received: Received,
    ) = assertFalse(received.status in SUCCESSES, "$form: $received")

    /** Guards against a success without its body, whose worker has not sent a whole head (MIXED). */
    @Test
    fun `an order whose worker stops inside its head is never a success`() =
        playAll("/unsafe/x", "text/plain", check = ::assertNoSuccess)

    /** Guards against a success without its body, whose workers have not sent a whole head (MIXED). */
    @Test
    fun `an idempotent request whose workers stop inside their heads is never a success`() =
        playAll("/safe/x", "text/plain", check = ::assertNoSuccess)

    /** Guards against an empty stream that looks complete (MIXED, ORDER). */
    @Test
    fun `a stream whose workers stop inside their heads is never a success`() =
        playAll("/stream/x", "text/event-stream", check = ::assertNoSuccess)

    /** Guards against a stream that ends as complete where its next worker stops inside its head (ORDER). */
    @Test
    fun `a stream whose next worker stops inside its head is cut and does not look complete`() {
        val event = "id: 1\ndata: e1\n\n"
        playAll(
            "/stream/x",
            "text/event-stream",
            play = { cut ->
                next = {
                    val begun = stream(1).replace("id: q1\r\n", "id: ${it.id}\r\n")
                    if (it.resumes) cut(it.id) else Script.Reset(begun)
                }
                exchange("/stream/x", newId("cut"))
            },
        ) { form, received ->
            assertNotEquals("", received.text, form)
            assertEquals(event, received.body, "$form: $received")
            assertFalse(received.whole, "$form: $received")
        }
    }

    private companion object {
        const val OK = 200
        const val RESET_STEP = 4
        val SUCCESSES = 200..299
    }
}
