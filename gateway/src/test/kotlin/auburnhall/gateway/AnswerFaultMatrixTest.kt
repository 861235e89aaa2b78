package auburnhall.gateway

import auburnhall.core.Reason
import auburnhall.core.Refusal
import auburnhall.core.RunState
import auburnhall.core.Step
import auburnhall.core.StepError
import auburnhall.engine.ChatCall
import auburnhall.limits.TicketOutcome
import kotlinx.serialization.json.Json
import kotlinx.serialization.json.JsonObject
import kotlinx.serialization.json.jsonArray
import kotlinx.serialization.json.jsonObject
import kotlinx.serialization.json.jsonPrimitive
import org.http4k.core.Response
import org.junit.jupiter.api.Assertions.assertEquals
import org.junit.jupiter.api.Assertions.assertTrue
import org.junit.jupiter.api.Test
import kotlin.random.Random

/** Puts every fault at every token of an answer, alone and in pairs, and checks what the caller got. */
class AnswerFaultMatrixTest {
    /** A fault of one attempt; [at] is the number of the answer's tokens that were generated before it. */
    private data class Fault(
        val kind: Kind,
        val at: Int,
    )

    private enum class Kind { BREAK, SILENT, LATE, REFUSE, FAIL }

    private val faults = Kind.entries.flatMap { kind -> (0..TOKENS.size).map { Fault(kind, it) } }

    @Test
    fun `an answer survives every fault at every token`() = faults.forEach { check(listOf(it)) }

    @Test
    fun `an answer survives every pair of faults at every pair of tokens`() {
        faults.forEach { a -> faults.forEach { b -> check(listOf(a, b)) } }
    }

    @Test
    fun `an answer whose every attempt fails ends in an explicit error`() {
        faults.forEach { f -> check(List(6) { f }, whole = false) }
    }

    @Test
    fun `an answer that is refused a place when it should go on ends in an explicit error`() {
        for (f in faults) {
            val bench = bench(listOf(f))
            val refusal = Refusal(Reason.QUEUE_TIMEOUT, RunState.NOT_RUN, StepError(Step.ADMIT, "m", "full"), 1)
            bench.admission = FakeAdmission(REPLICAS, { n -> refusal.takeIf { n == 2 } })
            val whole = verify(bench, bench.gateway(chatRequest(chatBody(STREAMED))), f.toString())
            assertTrue(!whole, f.toString())
        }
    }

    @Test
    fun `a caller that hangs up after any read releases everything`() {
        for (f in listOf(null) + faults) {
            for (reads in 0..TOKENS.size + 1) {
                val bench = bench(listOfNotNull(f))
                val response = bench.gateway(chatRequest(chatBody(STREAMED)))
                val buffer = ByteArray(8_192)
                repeat(reads) { response.body.stream.read(buffer) }
                response.body.stream.close()
                released(bench, "$f after $reads reads")
                if (reads <= TOKENS.size && f == null) {
                    assertEquals(
                        listOf(TicketOutcome.CANCELLED),
                        bench.admission.tickets
                            .single()
                            .outcomes,
                    )
                }
            }
        }
    }

    @Test
    fun `random histories of faults keep every answer whole or explicitly broken`() {
        val seed = 20_261_204L
        println("seed=$seed")
        val random = Random(seed)
        var whole = 0
        repeat(HISTORIES) {
            val history = List(random.nextInt(6)) { faults.random(random) }
            if (check(history, whole = null)) whole += 1
        }
        println("histories=$HISTORIES whole=$whole")
    }

    @Test
    fun `a limit reached before the end mark is not generated beyond`() {
        val bench = bench(listOf(Fault(Kind.BREAK, TOKENS.size)))
        val extra = ""","stream":true,"max_tokens":${TOKENS.size}"""
        assertTrue(verify(bench, bench.gateway(chatRequest(chatBody(extra))), "limit"))
        assertEquals(1, bench.engines.calls.size)
    }

    /** Runs [history] streamed and unstreamed; returns whether the answers were whole. */
    private fun check(
        history: List<Fault>,
        whole: Boolean? = true,
    ): Boolean {
        val got =
            listOf(STREAMED, "").map { form ->
                val bench = bench(history)
                verify(bench, bench.gateway(chatRequest(chatBody(form))), "$history $form")
            }
        assertEquals(got[0], got[1], history.toString())
        if (whole != null) assertEquals(whole, got[0], history.toString())
        return got[0]
    }

    private fun bench(history: List<Fault>) = Bench(*(history.map(::take) + Take.Stream(::rest)).toTypedArray())

    private fun take(fault: Fault): Take =
        when (fault.kind) {
            Kind.REFUSE -> Take.Refuse(503)
            Kind.FAIL -> Take.Fail
            Kind.BREAK -> Take.Stream { until(it, fault.at) + Act.Break }
            Kind.SILENT -> Take.Stream { until(it, fault.at) + Act.Pause(1_000_000) }
            Kind.LATE -> Take.Stream { until(it, fault.at) + Act.Pause(3_001) + rest(it) }
        }

    /** What an engine generates that goes on from the text it was given. */
    private fun rest(call: ChatCall): List<Act> = tokensAfter(call).map { Act.Say(it) } + Act.End

    /** The tokens that this attempt generates until [at] tokens of the whole answer exist. */
    private fun until(
        call: ChatCall,
        at: Int,
    ): List<Act> =
        tokensAfter(call).take((at - (TOKENS.size - tokensAfter(call).size)).coerceAtLeast(0)).map {
            Act.Say(it)
        }

    private fun tokensAfter(call: ChatCall): List<String> {
        val given = call.resumeText.orEmpty()
        var left = given.length
        return TOKENS.dropWhile { token -> (left > 0).also { left -= token.length } }
    }

    private fun verify(
        bench: Bench,
        response: Response,
        what: String,
    ): Boolean {
        val body = response.bodyString()
        val got = if (response.header("Content-Type") == EVENT_STREAM) streamed(body) else whole(response, body)
        val id = checkNotNull(response.header("X-Request-Id"))
        if (got.error == null) {
            assertEquals(REFERENCE, got.text, what)
        } else {
            assertTrue(REFERENCE.startsWith(got.text), "$what: ${got.text}")
            listOf("reason", "run_state", "request_id").forEach { assertTrue(it in got.error, "$what: no $it") }
        }
        released(bench, what)
        val failed = got.error != null || bench.engines.calls.size > 1
        if (failed) {
            assertEquals(
                id,
                bench.explanations.records
                    .single()
                    .requestId.value,
                what,
            )
        }
        return got.error == null
    }

    /** Every place is given back once, every stream is closed and none was read after that. */
    private fun released(
        bench: Bench,
        what: String,
    ) {
        bench.admission.tickets.forEach { assertEquals(1, it.outcomes.size, "$what: a place was kept or given twice") }
        bench.engines.streams.forEach {
            assertTrue(it.closes > 0, "$what: a stream was left open")
            assertEquals(0, it.readAfterClose, "$what: late output was read")
        }
        assertEquals(0, bench.inProgress.count, what)
        assertEquals(bench.listener.started, bench.listener.ended.size, what)
    }

    private class Got(
        val text: String,
        val error: JsonObject?,
    )

    private fun streamed(body: String): Got {
        val data = body.split("\n\n").filter { it.isNotEmpty() }.map { it.removePrefix("data: ") }
        val chunks = data.filter { it != "[DONE]" }.map { Json.parseToJsonElement(it).jsonObject }
        val error = chunks.firstNotNullOfOrNull { it["error"]?.jsonObject }
        assertEquals(error == null, data.last() == "[DONE]", body)
        return Got(chunks.joinToString("") { contentOf(it) }, error)
    }

    private fun contentOf(chunk: JsonObject): String {
        val choice = chunk["choices"]?.jsonArray?.firstOrNull()?.jsonObject
        return choice
            ?.get("delta")
            ?.jsonObject
            ?.get("content")
            ?.jsonPrimitive
            ?.content
            .orEmpty()
    }

    private fun whole(
        response: Response,
        body: String,
    ): Got {
        val json = Json.parseToJsonElement(body).jsonObject
        val error = json["error"]?.jsonObject
        assertEquals(error == null, response.status.code == 200)
        val choice = json["choices"]?.jsonArray?.firstOrNull()?.jsonObject
        return Got(
            choice
                ?.get("message")
                ?.jsonObject
                ?.get("content")
                ?.jsonPrimitive
                ?.content
                .orEmpty(),
            error,
        )
    }

    private companion object {
        const val STREAMED = ""","stream":true"""
        const val HISTORIES = 2_000
        val TOKENS = listOf("The ", "cot \"sheet\" ", "is\n", "übergroß ", "🧵", ".")
        val REFERENCE = TOKENS.joinToString("")
        val REPLICAS = listOf("a", "b", "c", "d").map(::replicaStatus)
    }
}
