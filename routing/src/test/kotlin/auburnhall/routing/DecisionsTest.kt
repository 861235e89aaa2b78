package auburnhall.routing

import auburnhall.test.FakeScheduler
import org.junit.jupiter.api.Assertions.assertEquals
import org.junit.jupiter.api.Assertions.assertFalse
import org.junit.jupiter.api.Assertions.assertTrue
import org.junit.jupiter.api.Test

class DecisionsTest {
    private val time = FakeScheduler()
    private val key = TargetKey("m/1@1")

    @Test
    fun `all processes together stay within the stated bound of retries`() {
        val bounds = RetryBounds(ratio = 0.2, windowMs = 10_000, extraRetries = 302)
        val budgets = List(20) { RetryBudget(time, { bounds }, { 20 }) }
        budgets.forEach { of -> repeat(50) { of.onRequest() } }
        val granted = budgets.sumOf { of -> generateSequence { of.tryAcquire() }.takeWhile { it }.count() }
        assertTrue(granted <= 0.2 * 1_000 + 302, "granted $granted")
        assertTrue(granted >= 300, "granted $granted")
    }

    @Test
    fun `the budget is there again after its window`() {
        val budget = RetryBudget(time, { RetryBounds(0.0, 10_000, 10) }, { 1 })
        assertEquals(8, generateSequence { budget.tryAcquire() }.takeWhile { it }.count())
        time.advance(10_001)
        assertTrue(budget.tryAcquire())
    }

    @Test
    fun `a full replica lets requests wait, and refuses those whose turn comes too late`() {
        val policy = AdmissionPolicy { 0.0 }
        val full = Choice.Full(target("x"), 19)
        assertEquals(
            Admission.Wait,
            policy.decide(full, QueueState(waitedMs = 0, requestsAhead = 2, requestsSentLastSecond = 10)),
        )
        val late = policy.decide(full, QueueState(waitedMs = 0, requestsAhead = 40, requestsSentLastSecond = 10))
        assertTrue(late is Admission.Refuse && late.retryAfterMs > 0)
        assertTrue(
            policy.decide(
                full,
                QueueState(waitedMs = 1_200, requestsAhead = 0, requestsSentLastSecond = 10),
            ) is Admission.Refuse,
        )
    }

    @Test
    fun `without a target a request is refused at once`() {
        val refused = AdmissionPolicy { 0.5 }.decide(Choice.None, QueueState(0, 0, 0))
        assertTrue(refused is Admission.Refuse && refused.reason == "no target")
    }

    @Test
    fun `a replica that is silent for longer than a pass is suspected, then lost unless found sound`() {
        val failureDetector = ReplicaFailureDetector(time)
        time.advance(1_000)
        assertEquals(Liveness.ALIVE, failureDetector.liveness(key, waitingSince = 800, started = true))
        assertEquals(Liveness.SUSPECT, failureDetector.liveness(key, waitingSince = 690, started = true))
        assertEquals(Liveness.LOST, failureDetector.liveness(key, waitingSince = 600, started = true))
        failureDetector.onActivity(key)
        assertEquals(Liveness.ALIVE, failureDetector.liveness(key, waitingSince = 600, started = true))
    }

    @Test
    fun `a request that reads its prompt is given more time`() {
        val failureDetector = ReplicaFailureDetector(time)
        time.advance(1_000)
        assertEquals(Liveness.ALIVE, failureDetector.liveness(key, waitingSince = 400, started = false))
        assertEquals(Liveness.SUSPECT, failureDetector.liveness(key, waitingSince = 290, started = false))
    }

    @Test
    fun `a worker that fails many requests is told from requests that fail anywhere`() {
        val health = TargetHealth(time)
        repeat(20) { health.onAnswer(key, error = it % 7 == 0) }
        assertFalse(health.hasHighErrorRate(key))
        repeat(4) { health.onAnswer(key, error = true) }
        assertTrue(health.hasHighErrorRate(key))
        assertTrue(health.isAvoided(key))
        time.advance(1_100)
        assertFalse(health.isAvoided(key))
    }

    @Test
    fun `a cleared replica takes requests at once, a lost one only under another epoch`() {
        val health = TargetHealth(time)
        health.markSuspect(key)
        assertTrue(health.isAvoided(key))
        health.clearSuspicion(key)
        assertFalse(health.isAvoided(key))
        health.markLost(key)
        health.clearSuspicion(key)
        assertTrue(health.isSuspect(key))
    }
}
