package auburnhall.gateway

import auburnhall.config.ConfigView
import auburnhall.core.Deadline
import auburnhall.core.RequestId
import auburnhall.core.RunState
import auburnhall.core.Step
import auburnhall.core.StepError
import auburnhall.ledger.CompletionResult
import auburnhall.ledger.IntentOutcome
import auburnhall.ledger.RecordedAnswer
import auburnhall.ledger.Reservation
import org.http4k.core.Method
import org.http4k.core.Request
import org.http4k.core.Response
import org.junit.jupiter.api.Assertions.assertEquals
import org.junit.jupiter.api.Assertions.assertTrue
import org.junit.jupiter.api.Test

class KeyedCallsTest {
    private val error = StepError(Step.DISPATCH, "s1", "scripted")
    private val done = RecordedAnswer(201, "text/plain", "sewn".toByteArray())
    private val answered = ServiceResult.Answered(201, "text/plain", emptyList(), "sewn".toByteArray())
    private val notSent = ServiceResult.NotSent(error)
    private val received = ServiceResult.MayHaveBeenReceived(error)
    private val completions = listOf(CompletionResult.Recorded, CompletionResult.NotRecorded(error))

    @Test
    fun `an order is received at most once and NOT_RUN is told only when it was not`() {
        val results = listOf(answered, notSent, received)
        for (first in results) {
            for (second in results) {
                for (completion in completions) check(listOf(first, second), completion)
            }
        }
    }

    private fun check(
        script: List<ServiceResult>,
        completion: CompletionResult,
    ) {
        val bench = Bench(Take.Fail)
        bench.ledger.completion = completion
        bench.services.script = { n, _ -> script[n - 1] }
        val response = bench.gateway(order())
        val seen = script.take(bench.services.calls.size).filter { it !is ServiceResult.NotSent }
        assertTrue(seen.size <= 1, "$script")
        assertEquals(seen.isEmpty(), runStateOf(response) == RunState.NOT_RUN, "$script")
        val outcome = bench.ledger.outcomes.single()
        assertEquals(seen.isEmpty(), outcome is IntentOutcome.NotRun, "$script")
        if (seen.singleOrNull() == answered) assertEquals("sewn", response.bodyString())
        assertEquals(0, bench.inProgress.count)
    }

    @Test
    fun `nothing is dispatched once the granted time is over`() {
        for (late in listOf(999L, 1_000L, 5_000L)) {
            val bench = Bench(Take.Fail)
            bench.ledger.reservation = {
                val by = Deadline(bench.clock.monotonicMillis() + 1_000)
                bench.clock.advance(late)
                Reservation.Granted(by)
            }
            val response = bench.gateway(order())
            val inTime = late < 1_000
            assertEquals(if (inTime) 1 else 0, bench.services.calls.size, "$late")
            assertEquals(inTime, bench.ledger.outcomes.single() is IntentOutcome.Done, "$late")
            if (!inTime) assertEquals(RunState.NOT_RUN, runStateOf(response), "$late")
        }
    }

    @Test
    fun `another instance is not tried once the granted time is over`() {
        val bench = Bench(Take.Fail)
        bench.services.script = { _, _ -> notSent.also { bench.clock.advance(1_000) } }
        bench.gateway(order())
        assertEquals(1, bench.services.calls.size)
    }

    @Test
    fun `what the ledger refuses is not passed on`() {
        val first = RequestId("req_1")
        val cases =
            mapOf(
                Reservation.InProgress(first) to (409 to RunState.MAY_HAVE_RUN),
                Reservation.MayHaveRun(first) to (504 to RunState.MAY_HAVE_RUN),
                Reservation.KeyReused(first) to (422 to RunState.NOT_RUN),
                Reservation.Unavailable(error) to (503 to RunState.MAY_HAVE_RUN),
                Reservation.Unavailable(error, RunState.NOT_RUN) to (503 to RunState.NOT_RUN),
            )
        for ((reservation, expected) in cases) {
            for (request in listOf(order(), chatRequest(chatBody()).header(KEY_HEADER, "k1"))) {
                val bench = Bench(Take.Stream { listOf(Act.Say("x"), Act.End) })
                bench.ledger.reservation = { reservation }
                val response = bench.gateway(request)
                assertEquals(expected, response.status.code to runStateOf(response), "$reservation")
                assertTrue(bench.services.calls.isEmpty() && bench.engines.calls.isEmpty(), "$reservation")
                assertTrue(bench.ledger.outcomes.isEmpty(), "$reservation")
                assertEquals(1, bench.explanations.records.size, "$reservation")
            }
        }
    }

    @Test
    fun `a recorded answer is given again and marked`() {
        val bench = Bench(Take.Fail)
        bench.ledger.reservation = { Reservation.Done(RequestId("req_1"), done) }
        val response = bench.gateway(order())
        assertEquals(201, response.status.code)
        assertEquals("true", response.header("Idempotent-Replayed"))
        assertEquals("sewn", response.bodyString())
        assertTrue(bench.services.calls.isEmpty())
    }

    @Test
    fun `an order without a key or with a bad one is refused`() {
        for ((key, status) in listOf(null to 400, " " to 400, "k".repeat(256) to 400, "k y" to 400)) {
            val bench = Bench(Take.Fail)
            val request = Request(Method.POST, "/services/orders/new").header("Authorization", "Bearer $KEY")
            assertEquals(
                status,
                bench
                    .gateway(
                        if (key ==
                            null
                        ) {
                            request
                        } else {
                            request.header(KEY_HEADER, key)
                        },
                    ).status.code,
            )
            assertTrue(bench.services.calls.isEmpty() && bench.ledger.reserved.isEmpty())
        }
    }

    @Test
    fun `a keyed call refused before the ledger was asked is not said to have not run`() {
        val bench = Bench(Take.Fail)
        bench.configuration = ConfigView.Stale(error)
        assertEquals(RunState.MAY_HAVE_RUN, runStateOf(bench.gateway(order())))
        bench.configuration = IN_FORCE
        bench.state = GatewayState.CLOSED
        assertEquals(RunState.MAY_HAVE_RUN, runStateOf(bench.gateway(order())))
    }

    @Test
    fun `a call that may be repeated is tried at the next instance`() {
        for (first in listOf(notSent, received)) {
            val bench = Bench(Take.Fail)
            bench.services.script = { n, _ -> if (n == 1) first else answered }
            val request = Request(Method.GET, "/services/orders/stock?id=1").header("Authorization", "Bearer $KEY")
            assertEquals("sewn", bench.gateway(request).bodyString())
            assertEquals(listOf("/stock?id=1", "/stock?id=1"), bench.services.calls.map { it.path })
            assertTrue(bench.services.calls.none { c -> c.headers.any { it.name.equals("Authorization", true) } })
        }
    }

    @Test
    fun `a keyed chat is not sent again once a replica may have received it`() {
        val cases =
            listOf(Take.Fail, Take.Stream { listOf(Act.Break) }, Take.Stream { listOf(Act.Say("a"), Act.Break) })
        for (take in cases) {
            val bench = Bench(take)
            val response = bench.gateway(chatRequest(chatBody()).header(KEY_HEADER, "k1"))
            assertEquals(RunState.MAY_HAVE_RUN, runStateOf(response))
            assertEquals(1, bench.engines.calls.size)
            assertEquals(listOf<IntentOutcome>(IntentOutcome.MayHaveRun), bench.ledger.outcomes)
        }
    }

    @Test
    fun `a keyed chat that every engine refused did not run`() {
        val bench = Bench(Take.Refuse(503))
        val response = bench.gateway(chatRequest(chatBody()).header(KEY_HEADER, "k1"))
        assertEquals(RunState.NOT_RUN, runStateOf(response))
        assertEquals(listOf<IntentOutcome>(IntentOutcome.NotRun), bench.ledger.outcomes)
    }

    @Test
    fun `a keyed chat goes on when its caller hangs up and its whole answer is recorded`() {
        val bench = Bench(Take.Stream { listOf(Act.Say("a"), Act.Say("b"), Act.End) })
        val response = bench.gateway(chatRequest(chatBody(""","stream":true""")).header(KEY_HEADER, "k1"))
        response.body.stream.close()
        val recorded = (bench.ledger.outcomes.single() as IntentOutcome.Done).answer.body.decodeToString()
        assertTrue(recorded.contains("\"content\":\"ab\"") && recorded.endsWith("data: [DONE]\n\n"), recorded)
        assertEquals(0, bench.inProgress.count)
    }

    private fun order() =
        Request(Method.POST, "/services/orders/new")
            .header("Authorization", "Bearer $KEY")
            .header(KEY_HEADER, "k1")
            .body("{}")

    private fun runStateOf(response: Response): RunState {
        if (response.status.successful) return RunState.RAN
        val code = Regex("\"run_state\":\"([a-z_]+)\"").find(response.bodyString())?.groupValues?.get(1)
        return RunState.entries.single { it.code == code }
    }
}
