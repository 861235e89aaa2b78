package auburnhall.entry

import org.junit.jupiter.api.Assertions.assertEquals
import org.junit.jupiter.api.Assertions.assertTrue
import org.junit.jupiter.api.Test

/** Evacuations of data centres as 6 to 8 processes learn them, over datagrams of which some are lost. */
class EvacuationExchangeTest {
    private fun settledFleet(relayFrom: Int = 2): SimulatedFleet {
        val fleet = SimulatedFleet(processes = PROCESSES, relayFrom = relayFrom)
        fleet.advance(SETTLE_MS)
        return fleet
    }

    private fun SimulatedFleet.evacuate(dataCentre: String) = store.put(KEY + dataCentre, "{}")

    private fun SimulatedFleet.takeBack(dataCentre: String) = store.remove(KEY + dataCentre)

    private fun SimulatedFleet.assertEvacuated(vararg dataCentres: String) =
        assertEquals(emptyList<String>(), processesThatDoNotEvacuate(*dataCentres), "expected ${dataCentres.toList()}")

    /** Guards against one evacuation that hides, or ends with, the other. */
    @Test
    fun `two data centres evacuated at once are taken back one by one`() {
        val fleet = settledFleet()
        fleet.evacuate("a")
        fleet.evacuate("b")
        fleet.advance(BOUND_MS)
        fleet.assertEvacuated("a", "b")
        fleet.takeBack("a")
        fleet.advance(BOUND_MS)
        fleet.assertEvacuated("b")
    }

    /** Guards against processes that send on to a data centre because the store turns them away. */
    @Test
    fun `a third of the processes, turned away by the store, learn the begin and the end from the others`() {
        val fleet = settledFleet(relayFrom = 1_000)
        val away = fleet.live.take(PROCESSES / 3)
        away.forEach { it.cutFromStore = true }
        fleet.advance(AWAY_MS)
        fleet.evacuate("a")
        fleet.advance(REPORTED_MS)
        fleet.assertEvacuated("a")
        assertTrue(away.all { process -> process.events.events.any { it.details.toMap()["source"] == "peer" } })
        fleet.takeBack("a")
        fleet.advance(REPORTED_MS)
        fleet.assertEvacuated()
        away.forEach { it.cutFromStore = false }
        fleet.advance(SETTLE_MS)
        fleet.assertEvacuated()
    }

    /** Guards against a data centre that is used again because the processes there, or the store, are away. */
    @Test
    fun `an evacuation holds while other processes are lost and while the store is down`() {
        val fleet = settledFleet()
        fleet.evacuate("a")
        fleet.advance(BOUND_MS)
        fleet.live.take(PROCESSES / 2).forEach { fleet.kill(it, downMs = 1_000) }
        fleet.evacuate("b")
        fleet.advance(BOUND_MS)
        fleet.assertEvacuated("a", "b")
        fleet.live.forEach { it.cutFromStore = true }
        fleet.advance(OUTAGE_MS)
        fleet.assertEvacuated("a", "b")
    }

    /** Guards against a controller that plans by the evacuations of its predecessor's term. */
    @Test
    fun `an evacuation taken back while the controller is lost has ended for the next one`() {
        val fleet = settledFleet()
        fleet.evacuate("a")
        fleet.advance(BOUND_MS)
        val controller = fleet.live.single { it.leading }
        fleet.kill(controller, downMs = 500)
        fleet.takeBack("a")
        fleet.advance(SETTLE_MS)
        fleet.assertEvacuated()
        val next = fleet.live.single { it.leading }
        assertEquals(
            emptySet<String>(),
            next.plane.replicas.evacuated
                .orEmpty(),
        )
    }

    /** Guards against a process that serves before it knows of an evacuation, also when all have started anew. */
    @Test
    fun `a process that starts knows the evacuations with its first state`() {
        val fleet = settledFleet()
        fleet.evacuate("a")
        fleet.advance(BOUND_MS)
        fleet.live.forEach { fleet.kill(it, downMs = 200) }
        repeat(STEPS) {
            fleet.advance(STEP_MS)
            assertTrue(fleet.live.all { it.evacuated == null || it.evacuated == setOf("a") })
        }
        fleet.assertEvacuated("a")
    }

    /** Guards against a data centre that gets requests in the seconds in which a restored store lacks the key. */
    @Test
    fun `an evacuation that the copy lacks holds until the operators have written it again`() {
        val fleet = settledFleet()
        val copy = fleet.store.copy()
        fleet.evacuate("a")
        fleet.advance(BOUND_MS)
        fleet.restore(copy)
        fleet.time.after(REWRITTEN_MS) { fleet.evacuate("a") }
        repeat(STEPS) {
            fleet.advance(STEP_MS)
            fleet.assertEvacuated("a")
        }
        fleet.takeBack("a")
        fleet.advance(BOUND_MS)
        fleet.assertEvacuated()
    }

    /** Guards against an evacuation that nobody can end, since its key was lost with the store. */
    @Test
    fun `an evacuation that is not written again after a restore ends, and one that ended before returns`() {
        val fleet = settledFleet()
        fleet.evacuate("b")
        fleet.advance(BOUND_MS)
        val copy = fleet.store.copy()
        fleet.takeBack("b")
        fleet.evacuate("a")
        fleet.advance(BOUND_MS)
        fleet.restore(copy)
        fleet.advance(SETTLE_MS)
        fleet.assertEvacuated("b")
    }

    private companion object {
        const val KEY = "op/evacuate/"
        const val PROCESSES = 7
        const val SETTLE_MS = 8_000L
        const val BOUND_MS = 5_000L
        const val AWAY_MS = 3_000L

        /** The time in which another process reads the change and its datagram or a repetition arrives. */
        const val REPORTED_MS = 2_500L
        const val OUTAGE_MS = 30_000L
        const val REWRITTEN_MS = 2_000L
        const val STEPS = 80
        const val STEP_MS = 100L
    }
}
