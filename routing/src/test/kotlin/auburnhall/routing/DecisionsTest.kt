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
    fun `retries of all processes together stay within the configured limit`() {
        val bounds = RetryBounds(ratio = 0.2, windowMs = 10_000, extraRetries = 302)
        val budgets = List(20) { RetryBudget(time, { bounds }, { 20 }) }
        budgets.forEach { budget -> repeat(50) { budget.onRequest() } }
        val granted = budgets.sumOf { budget -> generateSequence { budget.tryAcquire() }.takeWhile { it }.count() }
        assertTrue(granted <= 0.2 * 1_000 + 302, "granted $granted")
        assertTrue(granted >= 300, "granted $granted")
    }

    @Test
    fun `the retry budget is available again after its window`() {
        val budget = RetryBudget(time, { RetryBounds(0.0, 10_000, 10) }, { 1 })
        assertEquals(8, generateSequence { budget.tryAcquire() }.takeWhile { it }.count())
        time.advance(10_001)
        assertTrue(budget.tryAcquire())
    }

    @Test
    fun `requests for a full replica are queued, and refused if their turn would come too late`() {
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
    fun `a request without an available target is refused immediately`() {
        val refused = AdmissionPolicy { 0.5 }.decide(Choice.None, QueueState(0, 0, 0))
        assertTrue(refused is Admission.Refuse && refused.reason == "no target")
    }

    @Test
    fun `a replica without activity is suspect, then lost unless it is active again`() {
        val detector = ReplicaFailureDetector(time)
        time.advance(1_000)
        assertEquals(Liveness.ALIVE, detector.liveness(key, waitingSince = 800, started = true))
        assertEquals(Liveness.SUSPECT, detector.liveness(key, waitingSince = 690, started = true))
        assertEquals(Liveness.LOST, detector.liveness(key, waitingSince = 600, started = true))
        detector.onActivity(key)
        assertEquals(Liveness.ALIVE, detector.liveness(key, waitingSince = 600, started = true))
    }

    @Test
    fun `the detector says when the state of a silent replica changes next`() {
        val detector = ReplicaFailureDetector(time)
        time.advance(1_000)
        for (silentSince in listOf(720L, 650L)) {
            val changeAtMs = detector.nextChangeAtMs(key, silentSince, started = true)
            val before = detector.liveness(key, silentSince, started = true)
            time.advance(changeAtMs - time.nowMs() - 1)
            assertEquals(before, detector.liveness(key, silentSince, started = true))
            time.advance(1)
            assertTrue(before != detector.liveness(key, silentSince, started = true))
        }
    }

    @Test
    fun `the timeout is longer before the first event of a stream`() {
        val detector = ReplicaFailureDetector(time)
        time.advance(1_000)
        assertEquals(Liveness.ALIVE, detector.liveness(key, waitingSince = 400, started = false))
        assertEquals(Liveness.SUSPECT, detector.liveness(key, waitingSince = 290, started = false))
    }

    @Test
    fun `only a high error rate counts as a fault of the worker`() {
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
    fun `clearing ends the suspicion of a replica immediately but does not readmit a lost one`() {
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
