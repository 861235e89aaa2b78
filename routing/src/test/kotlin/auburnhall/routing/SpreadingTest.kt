package auburnhall.routing

import auburnhall.core.Address
import auburnhall.test.FakeScheduler
import org.junit.jupiter.api.Assertions.assertEquals
import org.junit.jupiter.api.Assertions.assertTrue
import org.junit.jupiter.api.Test
import kotlin.random.Random

/** 95 processes send 670 requests a second to 109 replicas and learn of each other's loads every 150 ms. */
class SpreadingTest {
    private val time = FakeScheduler()
    private val targets = List(TARGETS) { target("r$it", slots = 13, host = "10.0.0.$it") }
    private val random = Random(SEED)
    private val processes = List(PROCESSES) { Process() }
    private val sentAtMs = HashMap<TargetKey, ArrayList<Long>>()
    private var reused = 0

    private inner class Process {
        val load = LoadTracker(time)
        private val unreported = UnreportedRequests { PROCESSES }
        private val idleUntilMs = HashMap<Address, Long>()
        private val router = Router(load, TargetHealth(time), "a", random, unreported, ::hasIdleConnection)

        private fun hasIdleConnection(peer: Address) = (idleUntilMs[peer] ?: 0) > time.nowMs()

        fun send() {
            val target = (router.choose(TargetRequirements("s", "m"), targets) as Choice.Send).target
            if (hasIdleConnection(target.worker.address)) reused++
            idleUntilMs.remove(target.worker.address)
            load.begin(target.key, PROMPT_TOKENS)
            sentAtMs.getOrPut(target.key) { ArrayList() }.add(time.nowMs())
            time.after(READ_MS) { load.onPromptRead(target.key, PROMPT_TOKENS) }
            time.after(DURATION_MS) {
                load.end(target.key, 0)
                unreported.onEnded("m", DURATION_MS)
                idleUntilMs[target.worker.address] = time.nowMs() + IDLE_TIMEOUT_MS
            }
        }
    }

    private fun report() {
        val total = HashMap<Int, TargetLoad>()
        val own = processes.map { it.load.ownLoads() }
        own.forEach { loads -> loads.forEach { (hash, load) -> total.merge(hash, load, TargetLoad::plus) } }
        processes.zip(own).forEach { (process, loads) ->
            process.load.aggregate.onReportSent(loads)
            process.load.aggregate.onTotal(total)
        }
        time.after(REPORT_PERIOD_MS, ::report)
    }

    private fun arrive() {
        processes.random(random).send()
        time.after(random.nextLong(1, 3), ::arrive)
    }

    /** The most requests that a target got within 100 ms, for each target and each of its requests. */
    private fun bursts() =
        sentAtMs.values
            .flatMap { times ->
                times.map { start -> times.count { it in start until start + 100 } }
            }.sorted()

    @Test
    fun `processes do not all choose the target that is least loaded by the last report`() {
        println("seed = $SEED")
        report()
        arrive()
        time.advance(10_000)
        val bursts = bursts()
        assertTrue(bursts.size > 5_000, "${bursts.size} requests")
        val p95 = bursts[bursts.size * 95 / 100]
        assertTrue(p95 <= 4, "one request in twenty shares its first 100 ms at its target with ${p95 - 1} others")
        assertTrue(bursts.last() <= 12, "${bursts.last()} requests to one target within 100 ms")
        assertTrue(reused * 2 > bursts.size, "$reused of ${bursts.size} requests used an idle connection")
    }

    @Test
    fun `one process chooses the least loaded target`() {
        val loads = doubleArrayOf(3.0, 1.0, 2.0)
        val level = FillLevel(loads, intArrayOf(9, 9, 9))
        assertEquals(setOf(1), List(50) { level.choose(intArrayOf(0, 1, 2), 0.0, random) }.toSet())
    }

    @Test
    fun `targets are chosen in proportion to what they lack to the common level`() {
        val level = FillLevel(doubleArrayOf(0.0, 2.0, 9.0, 4.0), intArrayOf(10, 10, 10, 20))
        val counts = IntArray(4)
        repeat(10_000) { counts[level.choose(intArrayOf(0, 1, 2, 3), 9.1, random)]++ }
        // Ten requests fill the first, second and fourth up to 0.4 a slot: 4, 2 and 4 of them.
        assertEquals(0, counts[2])
        assertEquals(4_000.0, counts[0].toDouble(), 250.0)
        assertEquals(2_000.0, counts[1].toDouble(), 250.0)
        assertEquals(4_000.0, counts[3].toDouble(), 250.0)
    }

    private companion object {
        const val SEED = 5L
        const val TARGETS = 109
        const val PROCESSES = 95
        const val PROMPT_TOKENS = 700
        const val READ_MS = 100L
        const val DURATION_MS = 1_200L
        const val REPORT_PERIOD_MS = 150L
        const val IDLE_TIMEOUT_MS = 700L
    }
}
