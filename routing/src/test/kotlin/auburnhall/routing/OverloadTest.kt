package auburnhall.routing

import auburnhall.test.FakeScheduler
import org.junit.jupiter.api.Assertions.assertEquals
import org.junit.jupiter.api.Assertions.assertTrue
import org.junit.jupiter.api.Test
import kotlin.random.Random

/** 100 processes, each of which knows the load of the others 150 ms late, send to 504 slots. */
class OverloadTest {
    private val time = FakeScheduler()
    private val targets = List(TARGETS) { target("r$it", slots = 14, host = "10.0.0.$it") }
    private val random = Random(SEED)
    private val policy = AdmissionPolicy { random.nextDouble() }

    private class Waiting(
        val firstSentAtMs: Long,
        val receivedAtMs: Long,
    ) {
        fun isLate(now: Long) = now - firstSentAtMs > ON_TIME_WAIT_MS

        fun rank(now: Long) = WaitingRank(isLate(now), 0, firstSentAtMs < receivedAtMs, firstSentAtMs)
    }

    private inner class Process(
        private val reserves: Boolean,
    ) {
        val load = LoadTracker(time)
        private val unreported = UnreportedRequests { PROCESSES }
        private val router = Router(load, TargetHealth(time), "a", random, unreported) { true }
        private val queue = ArrayList<Waiting>()
        var onTime = 0
        var served = 0

        fun receive(request: Waiting) {
            queue.add(request)
            dispatch()
        }

        fun dispatch() {
            val now = time.nowMs()
            queue.sortBy { it.rank(now) }
            for (request in queue.toList()) {
                val requirements = TargetRequirements("s", "m", late = reserves && request.isLate(now))
                val state = QueueState(now - request.receivedAtMs, 0, 1)
                val admission = policy.decide(router.choose(requirements, targets), state)
                if (admission is Admission.Wait) break
                queue.remove(request)
                if (admission is Admission.Send) send(request, admission.target)
            }
        }

        private fun send(
            request: Waiting,
            target: Target,
        ) {
            served++
            // A request beyond the slots of its target waits there.
            val full = processes.sumOf { it.load.own(target.key).requests } >= target.slots
            if (!request.isLate(time.nowMs()) && !full) onTime++
            load.begin(target.key, 0)
            val durationMs = random.nextLong(2 * DURATION_MS)
            time.after(durationMs) {
                load.end(target.key, 0)
                unreported.onEnded("m", durationMs)
                dispatch()
            }
        }
    }

    private var processes = emptyList<Process>()

    private fun report() {
        val total = HashMap<Int, TargetLoad>()
        val own = processes.map { it.load.ownLoads() }
        own.forEach { loads -> loads.forEach { (hash, load) -> total.merge(hash, load, TargetLoad::plus) } }
        time.after(REPORT_AGE_MS) {
            processes.zip(own).forEach { (process, loads) ->
                process.load.aggregate.onReportSent(loads)
                process.load.aggregate.onTotal(total)
            }
        }
        time.after(REPORT_AGE_MS, ::report)
    }

    private fun retryWaiting() {
        processes.forEach { it.dispatch() }
        time.after(DISPATCH_PERIOD_MS, ::retryWaiting)
    }

    private fun arrive(
        perSecond: Int,
        ageMs: Long,
    ) {
        repeat(perSecond / TICKS_PER_SECOND) {
            processes.random(random).receive(Waiting(time.nowMs() - ageMs, time.nowMs()))
        }
    }

    private fun start(reserves: Boolean) {
        processes = List(PROCESSES) { Process(reserves) }
        report()
        retryWaiting()
    }

    /** All processes have just started; returns how many of [MEASURED] requests on time were served on time. */
    private fun afterLossOfAll(reserves: Boolean): Int {
        start(reserves)
        repeat(MEASURED_TICKS) { tick ->
            if (tick < HERD_TICKS) arrive(HERD_PER_SECOND, ageMs = 800)
            arrive(ON_TIME_PER_SECOND, ageMs = 0)
            time.advance(TICK_MS)
        }
        return processes.sumOf { it.onTime }
    }

    /** Guards against a backlog that makes every later request late, as after each loss of all processes. */
    @Test
    fun `late requests after the loss of all processes do not make those behind them late`() {
        println("seed = $SEED")
        val before = afterLossOfAll(reserves = false)
        val after = afterLossOfAll(reserves = true)
        println("on time of $MEASURED: $before without reserved slots, $after with them")
        assertTrue(after > before * 1.3, "$before before, $after after")
        assertTrue(after > MEASURED * 0.8, "$after of $MEASURED on time")
    }

    /** Guards against late requests that are refused although there are free slots. */
    @Test
    fun `late requests are served while there is room`() {
        start(reserves = true)
        time.advance(SlotReserve.START_MS)
        repeat(MEASURED_TICKS) {
            arrive(ON_TIME_PER_SECOND / 2, ageMs = 800)
            time.advance(TICK_MS)
        }
        time.advance(AdmissionPolicy.MAX_WAIT_MS)
        assertEquals(MEASURED / 2, processes.sumOf { it.served })
    }

    /** Guards against urgent or new requests that wait behind others that lose less. */
    @Test
    fun `requests that can be on time go first, then those of callers that have returned`() {
        val late = WaitingRank(late = true, priority = 0, returned = false, firstSentAtMs = 5)
        val returned = late.copy(returned = true, firstSentAtMs = 9)
        val onTime = WaitingRank(late = false, priority = 1, returned = false, firstSentAtMs = 7)
        val older = onTime.copy(firstSentAtMs = 6)
        val urgent = onTime.copy(priority = 0, firstSentAtMs = 8)
        assertEquals(
            listOf(urgent, older, onTime, returned, late),
            listOf(late, onTime, returned, urgent, older).sorted(),
        )
    }

    /** Guards against a raised timeout by which every request would seem to be late. */
    @Test
    fun `the age of a request follows what callers have at first, not a timeout that was raised`() {
        val age = CallerAge(time)
        assertEquals(800, age.onRequest("r", 8_000, 7_200))
        assertEquals(0, age.onRequest("r", 8_000, 8_040))
        repeat(30) { age.onRequest("r", 8_000, 8_000) }
        assertEquals(0, age.onRequest("r", 12_000, 8_040))
        assertEquals(1_000, age.onRequest("r", 12_000, 7_040))
        assertEquals(0, age.onRequest("r", 12_000, null))
    }

    private companion object {
        const val SEED = 11L
        const val TARGETS = 36
        const val PROCESSES = 100
        const val DURATION_MS = 1_000L
        const val REPORT_AGE_MS = 150L
        const val DISPATCH_PERIOD_MS = 40L
        const val ON_TIME_WAIT_MS = 120L
        const val TICK_MS = 10L
        const val TICKS_PER_SECOND = 100
        const val ON_TIME_PER_SECOND = 400
        const val HERD_PER_SECOND = 1_500
        const val HERD_TICKS = 75
        const val MEASURED_TICKS = 300
        const val MEASURED = ON_TIME_PER_SECOND / TICKS_PER_SECOND * MEASURED_TICKS
    }
}
