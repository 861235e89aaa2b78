package auburnhall.routing

import auburnhall.core.ColdSource
import auburnhall.core.ColdStart
import auburnhall.core.ColdState
import auburnhall.core.EventListener
import auburnhall.core.Fleet
import auburnhall.core.Service
import auburnhall.test.FakeScheduler
import org.junit.jupiter.api.Assertions.assertEquals
import org.junit.jupiter.api.Assertions.assertTrue
import org.junit.jupiter.api.Test
import kotlin.random.Random

private const val COLD_MS = 3_000L
private const val FLEET = 122
private const val BOUND = 26 * 1.5 + 5

class ColdWorkersTest {
    private val time = FakeScheduler()
    private val target = target("w")
    private val arrivalsMs = ArrayList<Long>()

    private inner class Process(
        val name: String,
    ) {
        val share = EvenShare(name, time)
        val cold = ColdWorkers(time, share, { ColdBound(1.5, 5.0) }, EventListener.NONE)
        val limits = WorkerLimits(time, { 1.0 }, cold) { 0.0 }

        val isLimited: Boolean get() = cold.perSecond(listOf(target)) > 0

        fun learn(state: ColdState) = onCold(COLD_START, state)

        fun onCold(
            start: ColdStart?,
            state: ColdState,
        ) = cold.onFleet(
            Fleet(1, listOf(target.worker), mapOf(target.worker.id to state)),
            listOf(Service("s", 9, null, start)),
        )

        fun sendIfAllowed() {
            if (limits.waitMs(target) > 0) return
            limits.onSent(target)
            arrivalsMs.add(time.nowMs())
        }
    }

    /** Each process has a request for the worker at any time from when it has learnt of it, for its cold time. */
    private fun flood(
        processes: List<Process>,
        random: Random,
    ) {
        arrivalsMs.clear()
        val learnAtMs = processes.associateWith { time.nowMs() + random.nextLong(LEARN_MS) }
        val endMs = time.nowMs() + COLD_MS
        while (time.nowMs() < endMs) {
            for (process in processes) {
                val atMs = learnAtMs.getValue(process)
                if (time.nowMs() == atMs) process.learn(ColdState(ColdSource.APPEARED, atMs))
                if (time.nowMs() >= atMs) process.sendIfAllowed()
            }
            time.advance(1)
        }
    }

    private fun mostInSecond(): Int =
        arrivalsMs.indices.maxOf { first ->
            arrivalsMs.drop(first).count { it < arrivalsMs[first] + 1_000 }
        }

    /** Each process knows those before it by up to [known] places, and itself. */
    private fun register(
        processes: List<Process>,
        known: Int = FLEET,
    ) = processes.forEachIndexed { index, process ->
        val others = processes.filterIndexed { other, _ -> (index - other).mod(FLEET) in 1..<known }
        process.share.onPeers(others.map { it.name }.toSet())
    }

    private fun processes(run: Int) = List(FLEET) { Process("run$run-zone-${it % 3}-$it") }

    private fun assertBounded(
        run: Int,
        least: Int,
    ) {
        val most = mostInSecond()
        assertTrue(most < BOUND, "run $run: $most in a second")
        assertTrue(arrivalsMs.size >= least, "run $run: ${arrivalsMs.size} in all")
    }

    /** Guards against full load on a data centre whose workers have had none for long. */
    @Test
    fun `after an evacuation workers are cold until they state otherwise`() {
        val process = Process("p")
        process.learn(ColdState(ColdSource.ENTRY, time.nowMs(), 0))
        time.advance(1)
        process.cold.onEvacuationEnded(setOf("other"))
        assertEquals(0, process.cold.count)
        process.cold.onEvacuationEnded(setOf(target.worker.dataCentre))
        assertEquals(1, process.cold.count)
        time.advance(1)
        process.learn(ColdState(ColdSource.ENTRY, time.nowMs(), 0))
        assertEquals(0, process.cold.count)
    }

    /** Guards against a crash of a new worker that all processes find empty at once. */
    @Test
    fun `a burst of all processes stays below the bound and gives the worker load`() {
        repeat(RUNS) { run ->
            val processes = processes(run)
            register(processes)
            time.advance(10_000)
            flood(processes, Random(run))
            assertBounded(run, least = 45)
        }
    }

    /** Guards against processes that take themselves for the only one while their registrations spread. */
    @Test
    fun `after a start of all processes the bound holds though each knows of few others at first`() {
        repeat(RUNS) { run ->
            val processes = processes(run)
            register(processes, known = 1 + run % 4)
            time.after(800) { register(processes) }
            flood(processes, Random(run))
            assertBounded(run, least = 8)
        }
    }

    /** Guards against processes that divide the rate among those that the store still lists. */
    @Test
    fun `the bound holds while half of the processes are cut off and no longer registered`() {
        repeat(RUNS) { run ->
            val processes = processes(run)
            register(processes)
            time.advance(10_000)
            val registered = processes.take(FLEET / 2)
            registered.forEach { it.share.onPeers((registered - it).map { peer -> peer.name }.toSet()) }
            time.advance(30_000)
            flood(processes, Random(run))
            assertBounded(run, least = 45)
        }
    }

    /** Guards against a worker that gets all its load at the moment at which it stops being cold. */
    @Test
    fun `the rate grows after the cold time until the limit ends`() {
        val process = Process("p")
        time.advance(10_000)
        process.learn(ColdState(ColdSource.APPEARED, time.nowMs()))
        val cold = process.cold.perSecond(listOf(target))
        time.advance(COLD_MS + COLD_MS / 6)
        assertTrue(process.cold.perSecond(listOf(target)) in cold * 4..cold * 5)
        time.advance(COLD_MS / 6)
        assertEquals(0, process.limits.waitMs(target))
        assertEquals(0.0, process.cold.perSecond(listOf(target)))
    }

    /** Guards against an older sign of coldness that outlives the worker's own statement, and the reverse. */
    @Test
    fun `the latest statement holds, of the entry, of a response or of another process`() {
        val process = Process("p")
        val appeared = ColdState(ColdSource.APPEARED, time.nowMs())
        process.learn(appeared)
        time.advance(1)
        process.cold.onResponse(target, 0)
        process.learn(appeared)
        assertEquals(0, process.limits.waitMs(target))
        time.advance(100)
        process.learn(ColdState(ColdSource.ENTRY, time.nowMs(), 60_000))
        time.advance(50_000)
        assertTrue(process.isLimited)
        process.learn(ColdState(ColdSource.ENTRY, time.nowMs(), 0))
        assertEquals(0, process.limits.waitMs(target))
        time.advance(1)
        val other = Process("q").apply { learn(ColdState(ColdSource.ENTRY, time.nowMs(), 0)) }
        process.cold.onNamed = { other.cold.onReported(it) }
        time.advance(1)
        process.cold.onResponse(target, 2_000)
        assertTrue(process.isLimited && other.isLimited)
    }

    /** Guards against turns that are lost to requests which another worker refused. */
    @Test
    fun `a request that was misdirected does not count`() {
        val process = Process("p").apply { learn(ColdState(ColdSource.APPEARED, time.nowMs())) }
        while (process.limits.waitMs(target) > 0) time.advance(1)
        process.limits.onSent(target)
        assertTrue(process.limits.waitMs(target) > 0)
        process.cold.onNotReceived(target)
        assertEquals(0, process.limits.waitMs(target))
    }

    /** Guards earlier deployments, which state no cold times. */
    @Test
    fun `a service without cold workers is not limited`() {
        val process = Process("p").apply { onCold(null, ColdState(ColdSource.ENTRY, time.nowMs(), 60_000)) }
        process.cold.onResponse(target, 60_000)
        assertEquals(0, process.limits.waitMs(target))
        assertEquals(0, process.cold.count)
    }

    private companion object {
        val COLD_START = ColdStart(COLD_MS, 26.0)

        /** Longest time until a process has read a new entry. */
        const val LEARN_MS = 700L
        const val RUNS = 40
    }
}
