package auburnhall.gateway

import org.junit.jupiter.api.Assertions.assertEquals
import org.junit.jupiter.api.Assertions.assertTrue
import org.junit.jupiter.api.Test
import java.util.concurrent.ConcurrentHashMap

/** Workers that write a refusal of an earlier request once more, before the answer to a later one. */
class LateRefusalTest : FaultyWorkerFixture() {
    private val runs = ConcurrentHashMap<String, Int>()

    /** Orders that were called not run. */
    private val notRun = ArrayList<String>()

    /** What is written before the answer to a request that runs, by the id of the earlier one. */
    @Volatile
    private var copy: (earlier: String) -> String = { "" }

    private fun refusal(
        status: String,
        fields: String,
    ) = "HTTP/1.1 $status\r\n${fields}notrun: 1\r\nretry-after: 3\r\ncontent-length: 0\r\n\r\n"

    private fun ways(earlier: String) =
        listOf("id: $earlier\r\n", "", "id: ${earlier.uppercase()}\r\n", "id:   $earlier \t\r\n", "id: $earlier, x\r\n")

    /** Refuses requests whose id begins with "early", and "moved" at their first worker; runs the others. */
    private fun respond(request: WorkerRequest): Script {
        val id = request.id
        val refused = id.startsWith("early") || (id.startsWith("moved") && runs.putIfAbsent(id, 0) == null)
        if (refused) return Script.Send(refusal("503 Full", "id: $id\r\n"))
        runs.merge(id, 1, Int::plus)
        return Script.Send(
            request.earlier
                .lastOrNull()
                ?.let(copy)
                .orEmpty() + full("ran $id", id = id),
        )
    }

    /** Plays an order after one that all workers have refused; returns whether it was answered with its success. */
    private fun play(
        prefix: String,
        form: String,
    ): Boolean {
        assertEquals(REFUSED, exchange("/unsafe/x", newId("early")).status)
        val id = newId(prefix)
        val received = exchange("/unsafe/x", id, SHORT_WAIT_MS)
        val ran = runs[id] ?: 0
        val served = received.whole && received.status == OK && received.body == "ran $id"
        assertTrue(ran <= 1, "$ran runs; $form: $received")
        assertTrue(served || received.status in PROMISING_NOTHING || ran == 0, "$ran runs; $form: $received")
        if (!served && received.status !in PROMISING_NOTHING) notRun.add(id)
        return served
    }

    private data class Form(
        val status: String,
        val way: Int,
        val cut: Int,
    )

    /** Each byte of the first status; of the others the whole refusal and some bytes. */
    private fun cuts(
        status: String,
        way: Int,
    ): List<Form> {
        val length = refusal(status, ways(newId("early"))[way]).length
        val cuts = (1..length).filter { status == STATUSES.first() || it % CUT_STEP == 0 || it == length }
        return cuts.map { Form(status, way, it) }
    }

    private fun playAll(prefix: String) {
        serveBy(2, ::respond)
        val forms = STATUSES.flatMap { status -> ways("").indices.flatMap { way -> cuts(status, way) } }
        val served =
            forms.count { form ->
                copy = { refusal(form.status, ways(it)[form.way]).take(form.cut) }
                play(prefix, "$form")
            }
        println("$prefix: ${forms.size} forms, $served served, ${notRun.size} not run")
        assertTrue(notRun.none { (runs[it] ?: 0) > 0 }, "ran later: ${notRun.filter { runs[it] != 0 }}")
        assertTrue(notRun.size < forms.size / 2, "${notRun.size} of $forms did not come to a worker that runs them")
    }

    /** Guards against an order that runs and is called not run, because of an earlier refusal (REFUSED, TWICE). */
    @Test
    fun `an order is not called not run by a late refusal of another order, whole or cut off at any byte`() {
        playAll("order")
    }

    /** Guards against a second attempt that runs and is called not run (REFUSED, TWICE). */
    @Test
    fun `the second attempt of an order is not called not run by a late refusal`() {
        playAll("moved")
    }

    /** Guards against a worker that gets nothing because it said something long ago, or to nobody. */
    @Test
    fun `a late refusal is no new statement of its worker`() {
        serveBy(2, ::respond)
        for (way in ways("early-0").indices) {
            copy = { refusal("503 Full", ways(it)[way] + "pause-ms: 60000\r\nleaving: 1\r\n") }
            play("order", "id $way")
        }
        val statements = events.events.filter { it.name == "worker.paused" || it.name == "worker.leaving" }
        assertEquals(emptyList<Any>(), statements)
    }

    private companion object {
        const val OK = 200
        const val REFUSED = 503
        const val SHORT_WAIT_MS = 1_000
        const val CUT_STEP = 8
        val STATUSES = listOf("503 Full", "429 Busy", "421 Other", "408 Late")

        /** No response at all promises nothing, too. */
        val PROMISING_NOTHING = setOf(null, 502, 504)
    }
}
