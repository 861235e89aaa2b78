package auburnhall.limits

import auburnhall.core.CustomerId
import auburnhall.core.DataCentreId
import auburnhall.core.Deadline
import auburnhall.core.FleetView
import auburnhall.core.InstanceId
import auburnhall.core.Plan
import auburnhall.core.Reason
import auburnhall.core.Replica
import auburnhall.core.ReplicaId
import auburnhall.core.ReplicaState
import auburnhall.core.ReplicaStatus
import auburnhall.core.RequestId
import auburnhall.routing.Router
import auburnhall.routing.RoutingSettings
import org.junit.jupiter.api.Assertions.assertEquals
import org.junit.jupiter.api.Assertions.assertNull
import org.junit.jupiter.api.Assertions.assertTrue
import org.junit.jupiter.api.Test
import kotlin.random.Random

class AdmissionQueueTest {
    private class Inputs : AdmissionInputs {
        var view = FleetView(listOf(status("a")))

        override fun fleet() = view

        override fun activeProcesses() = 20
    }

    private val inputs = Inputs()
    private val router = Router(DC, Random(1), RoutingSettings(engineQueueShare = 0.0))
    private val queue = AdmissionQueue(AdmissionSettings(), router, inputs)

    @Test
    fun `no place stays free while a request waits`() {
        val all = List(6) { offer("team", 0) }
        assertEquals(CAPACITY, all.count { it.verdict is Verdict.Place })
        finish(all.first { it.verdict is Verdict.Place }, 10)
        assertEquals(CAPACITY + 1, all.count { it.verdict is Verdict.Place })
    }

    @Test
    fun `a large team does not keep a small one waiting`() {
        val running = List(CAPACITY) { offer("large", 0) }
        val waiting = List(50) { offer("large", 0) }
        val small = offer("small", 1)
        finish(running[0], 2)
        finish(running[1], 3)
        assertTrue(small.verdict is Verdict.Place)
        assertEquals(1, waiting.count { it.verdict is Verdict.Place })
    }

    @Test
    fun `a request that goes on at another replica is served first`() {
        val running = List(CAPACITY) { offer("team", 0) }
        val waiting = offer("team", 0)
        val resumed = offer("team", 1, resumes = true)
        finish(running[0], 2)
        assertTrue(resumed.verdict is Verdict.Place)
        assertNull(waiting.verdict)
    }

    @Test
    fun `a request whose deadline cannot be met any more is refused`() {
        repeat(CAPACITY) { offer("team", 0) }
        val waiting = offer("team", 0)
        queue.dispatch(FIRST_TOKEN + 1)
        assertEquals(Reason.QUEUE_TIMEOUT, reason(waiting))
    }

    @Test
    fun `a request that would wait beyond its deadline is refused at once`() {
        val running = List(CAPACITY) { offer("team", 0) }
        finish(running[0], 8_000)
        repeat(CAPACITY) { offer("team", 8_000) }
        assertEquals(Reason.DEADLINE_UNREACHABLE, reason(offer("team", 8_000)))
    }

    @Test
    fun `a customer without a share is refused by the bound it met, and nothing is sent`() {
        val waiting = offer("team", 0, lent = false)
        queue.dispatch(AdmissionSettings().shareWaitMillis)
        assertEquals(Reason.CONCURRENCY, reason(waiting))
        assertEquals(0, router.outstanding)
    }

    @Test
    fun `requests beyond what is lent wait`() {
        val account = queue.accounts.getOrPut(CustomerId("team")) { CustomerShares(CustomerId("team"), PLAN) }
        account.loans.lend(ShareGrant(CustomerId("team"), 2.0, 1e6, 10, 100), 0)
        val all = List(3) { offer("team", 0, lent = false) }
        assertEquals(2, all.count { it.verdict is Verdict.Place })
        assertTrue(queue.isShort)
    }

    @Test
    fun `a customer that returns after its account was forgotten is served`() {
        finish(offer("team", 0), 1)
        queue.forget(100_000)
        assertTrue(queue.accounts.isEmpty())
        assertTrue(offer("team", 100_000).verdict is Verdict.Place)
    }

    private fun offer(
        team: String,
        nowMillis: Long,
        resumes: Boolean = false,
        lent: Boolean = true,
    ): WaitingRequest {
        val customer = CustomerId(team)
        val account = queue.accounts.getOrPut(customer) { CustomerShares(customer, PLAN) }
        if (lent) account.loans.lend(ShareGrant(customer, 100.0, 1e6, 1_000, 1_000_000), nowMillis)
        val first = Deadline(nowMillis + FIRST_TOKEN)
        val answer = Deadline(nowMillis + ANSWER)
        val request =
            AdmissionRequest(RequestId("r"), customer, PLAN, "m", emptyList(), 100, first, answer, resumes = resumes)
        val waiting = queue.offer(request, nowMillis)
        queue.dispatch(nowMillis)
        return waiting
    }

    private fun finish(
        waiting: WaitingRequest,
        nowMillis: Long,
    ) {
        queue.finish(waiting, waiting.verdict as Verdict.Place, PlaceEnd(TicketOutcome.COMPLETED, 100), nowMillis)
        queue.dispatch(nowMillis)
    }

    private fun reason(waiting: WaitingRequest) = (waiting.verdict as? Verdict.Refused)?.reason

    private companion object {
        const val CAPACITY = 4
        const val FIRST_TOKEN = 1_000L
        const val ANSWER = 60_000L
        val DC = DataCentreId("dc")
        val PLAN = Plan("p", 1e6, 1e6, 1_000, 1, 0, FIRST_TOKEN, ANSWER)

        fun status(id: String) =
            ReplicaStatus(
                Replica(ReplicaId(id), "m", "1", listOf(InstanceId("$id-0")), 1, ReplicaState.SERVING),
                DC,
                id,
                Deadline(Long.MAX_VALUE),
                CAPACITY,
                0,
                0,
                -1_000,
            )
    }
}
