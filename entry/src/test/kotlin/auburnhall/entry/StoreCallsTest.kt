package auburnhall.entry

import auburnhall.core.StoreError
import org.junit.jupiter.api.Assertions.assertEquals
import org.junit.jupiter.api.Assertions.assertTrue
import org.junit.jupiter.api.DynamicTest
import org.junit.jupiter.api.Test
import org.junit.jupiter.api.TestFactory

/** What the processes ask of the store, by kind of call, when it does not answer and when processes are added. */
class StoreCallsTest {
    private var fleet = SimulatedFleet(processes = 0, relayFrom = 33, dataCentres = 3)

    /** Cost of the calls made during [action], in full calls. */
    private fun costOf(
        scene: String,
        action: () -> Unit,
    ): Double {
        val before = fleet.calls.toMap()
        action()
        val made = fleet.calls.mapValues { (kind, count) -> count - (before[kind] ?: 0) }
        val cost = made.entries.sumOf { it.key.tenths * it.value } / TENTHS
        println("$scene: $made, cost $cost")
        return cost
    }

    private fun startAll() {
        fleet = SimulatedFleet(processes = 0, relayFrom = 33, dataCentres = 3)
        fleet.addProcesses(PROCESSES)
        fleet.advance(SETTLE_MS)
    }

    private fun assertApplied() {
        assertEquals(emptyList<String>(), fleet.violations)
        assertEquals(emptyList<String>(), fleet.staleProcesses())
    }

    /** Time, in milliseconds, until all processes that [concerned] selects have a configuration written now. */
    private fun timeToApply(concerned: (SimulatedFleet.SimulatedProcess) -> Boolean = { true }): Long {
        val writtenAtMs = fleet.time.nowMs()
        fleet.writeConfiguration()
        val names = fleet.live.filter(concerned).map { it.name }
        while (fleet.time.nowMs() - writtenAtMs < LIMIT_MS && fleet.staleProcesses().any { it in names }) {
            fleet.advance(STEP_MS)
        }
        return fleet.time.nowMs() - writtenAtMs
    }

    /** Guards against processes that each ask a store that does not answer, and against a return learned late. */
    @Test
    fun `an outage of 6 s`() {
        startAll()
        val cost =
            costOf("outage") {
                fleet.store.outage = StoreError.TurnedAway(503)
                fleet.store.reconnect()
                fleet.advance(6_000)
                fleet.store.outage = null
                val tookMs = timeToApply()
                println("applied after $tookMs ms")
                assertTrue(tookMs <= APPLY_MS, "$tookMs")
                fleet.advance(APPLY_MS)
            }
        assertApplied()
        assertTrue(cost < 400, "$cost")
    }

    /** Guards against processes that turn to the store since the state that is relayed to them becomes old. */
    @Test
    fun `watches that hear nothing for a second`() {
        startAll()
        val cost =
            costOf("mute") {
                fleet.store.mutesWatches = true
                fleet.advance(1_000)
                fleet.store.mutesWatches = false
                val tookMs = timeToApply()
                println("applied after $tookMs ms")
                assertTrue(tookMs <= APPLY_MS, "$tookMs")
                fleet.advance(SETTLE_MS)
            }
        assertApplied()
        assertTrue(cost < 150, "$cost")
    }

    /** Guards against a change learned late by a third of the processes, to whom the store does not answer for 9 s. */
    @TestFactory
    fun `a third of the processes is cut off from the store`() =
        listOf("with the controller and its children", "without the controller").map { which ->
            DynamicTest.dynamicTest(which) {
                startAll()
                val controller = fleet.live.single { it.leading }
                val others = fleet.live - controller
                val cut = if (which.startsWith("with ")) others.take(39) + controller else others.takeLast(40)
                cut.forEach { it.cutFromStore = true }
                val tookMs = List(5) { timeToApply().also { fleet.advance(500) } }
                println("cut $which: applied after $tookMs ms")
                cut.forEach { it.cutFromStore = false }
                assertTrue(tookMs.max() <= CUT_APPLY_MS, "$tookMs")
                assertEquals(emptyList<String>(), fleet.violations)
            }
        }

    /** Guards against a process that reaches no other and waits for them rather than asking the store. */
    @Test
    fun `a process that reaches no other process takes changes from the store`() {
        startAll()
        val alone = fleet.live.last()
        alone.alone = true
        fleet.advance(2_000)
        val tookMs = timeToApply()
        assertTrue(tookMs <= APPLY_MS, "$tookMs")
        fleet.store.outage = StoreError.TurnedAway(503)
        fleet.store.reconnect()
        fleet.advance(6_000)
        fleet.store.outage = null
        val afterMs = timeToApply { it === alone }
        println("alone: $tookMs ms, after an outage $afterMs ms")
        assertTrue(afterMs <= CUT_APPLY_MS, "$afterMs")
    }

    /** Guards against processes that read the whole store more than once when they start. */
    @Test
    fun `22 processes added at once`() {
        startAll()
        val cost =
            costOf("added") {
                fleet.addProcesses(22)
                fleet.advance(SETTLE_MS)
                assertApplied()
            }
        assertTrue(cost < 160, "$cost")
    }

    /** Guards against a start of all processes in which each follows the store until it knows the others. */
    @Test
    fun `a start of all processes`() {
        val cost =
            costOf("start") {
                startAll()
                assertApplied()
            }
        assertTrue(cost < 800, "$cost")
    }

    /** Guards against a configuration that crosses data centres for each process, which the operators pay for. */
    @Test
    fun `a long configuration crosses data centres a few times only`() {
        startAll()
        fleet.routes = 200
        fleet.writeConfiguration()
        val length = checkNotNull(fleet.store.valueOf("op/config")).length
        val before = fleet.bytesBetweenDataCentres
        fleet.advance(APPLY_MS)
        val sent = fleet.bytesBetweenDataCentres - before
        println("configuration of $length bytes: $sent bytes between data centres")
        assertApplied()
        assertTrue(sent < 4 * length, "$sent")
    }

    /** Guards against a data centre that learns of nothing once the process that takes changes for it is lost. */
    @Test
    fun `the process that takes changes for its data centre is lost`() {
        startAll()
        val controller = fleet.live.single { it.leading }
        val first = fleet.live.filter { it.dataCentre != controller.dataCentre }.minBy { it.name }
        fleet.kill(first, downMs = 6_000)
        val tookMs = List(4) { timeToApply().also { fleet.advance(500) } }
        println("first of a data centre lost: applied after $tookMs ms")
        assertTrue(tookMs.max() <= APPLY_MS, "$tookMs")
    }

    private companion object {
        const val PROCESSES = 122
        const val TENTHS = 10.0
        const val SETTLE_MS = 8_000L

        /** Time within which a confirmed configuration is in force, the shortest of all deployments. */
        const val APPLY_MS = 2_000L

        /** That time for processes that the store does not answer; an evacuation is to be known within 5 s. */
        const val CUT_APPLY_MS = 3_000L
        const val LIMIT_MS = 10_000L
        const val STEP_MS = 20L
    }
}
