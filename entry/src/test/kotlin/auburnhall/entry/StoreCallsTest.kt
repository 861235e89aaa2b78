package auburnhall.entry

import auburnhall.core.StoreError
import org.junit.jupiter.api.Assertions.assertEquals
import org.junit.jupiter.api.Assertions.assertTrue
import org.junit.jupiter.api.Test

/** What the processes ask of the store, by kind of call, when it does not answer and when processes are added. */
class StoreCallsTest {
    private val fleet = SimulatedFleet(processes = 0, relayFrom = 33)

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
        fleet.addProcesses(PROCESSES)
        fleet.advance(SETTLE_MS)
    }

    private fun assertApplied() {
        assertEquals(emptyList<String>(), fleet.violations)
        assertEquals(emptyList<String>(), fleet.staleProcesses())
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
                fleet.writeConfiguration()
                fleet.advance(APPLY_MS)
                assertApplied()
            }
        assertTrue(cost < 1_800, "$cost")
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
                fleet.writeConfiguration()
                fleet.advance(APPLY_MS)
                assertApplied()
                fleet.advance(SETTLE_MS)
            }
        assertTrue(cost < 400, "$cost")
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
        assertTrue(cost < 220, "$cost")
    }

    /** Guards against a start of all processes in which each follows the store until it knows the others. */
    @Test
    fun `a start of all processes`() {
        val cost =
            costOf("start") {
                startAll()
                assertApplied()
            }
        assertTrue(cost < 1_300, "$cost")
    }

    private companion object {
        const val PROCESSES = 122
        const val TENTHS = 10.0
        const val SETTLE_MS = 8_000L

        /** Time within which a confirmed configuration is in force, the shortest of all deployments. */
        const val APPLY_MS = 2_000L
    }
}
