package auburnhall.entry

import org.junit.jupiter.api.Assertions.assertEquals
import org.junit.jupiter.api.Assertions.assertTrue
import org.junit.jupiter.api.Test

/** Requests must not reach a worker for longer than its drain time after an available store removed its entry. */
class WorkerRemovalTest {
    private val fleet = SimulatedFleet(processes = 20, relayFrom = 2).also { it.advance(SETTLE_MS) }

    private fun assertRemovedInTime() {
        fleet.removeWorker(1)
        fleet.advance(DRAIN_MS)
        assertEquals(emptyList<String>(), fleet.processesThatUse(1))
    }

    @Test
    fun `a watch that was cut does not keep a removed worker in use`() {
        fleet.store.reconnect()
        fleet.advance(300)
        assertRemovedInTime()
    }

    @Test
    fun `a process whose last request to the store failed does not keep removed workers in use`() {
        val process = fleet.live.last()
        process.cut = true
        fleet.advance(1_500)
        process.cut = false
        repeat(20) {
            fleet.writeWorker(0)
            fleet.advance(100)
            if (it == 4) process.turnedAway = process.source == "store"
        }
        assertTrue(process.turnedAway && process.source != "store")
        process.turnedAway = false
        fleet.advance(SETTLE_MS)
        assertRemovedInTime()
    }

    @Test
    fun `a controller that the store turned away alone does not keep removed workers in use`() {
        val controller = fleet.live.single { it.leading }
        controller.turnedAway = true
        fleet.advance(4_000)
        controller.turnedAway = false
        fleet.advance(1_000)
        assertRemovedInTime()
    }

    @Test
    fun `a worker whose entry expired in an outage of the store stays in use until it can have registered again`() {
        fleet.live.forEach { it.turnedAway = true }
        fleet.removeWorker(1)
        fleet.advance(3_000)
        fleet.live.forEach { it.turnedAway = false }
        repeat(10) {
            fleet.advance(200)
            assertEquals(fleet.live.map { it.name }, fleet.processesThatUse(1))
        }
        fleet.writeWorker(1)
        fleet.advance(3_000)
        assertEquals(fleet.live.map { it.name }, fleet.processesThatUse(1))
    }

    private companion object {
        const val SETTLE_MS = 9_000L

        /** The shortest drain time of the deployments. */
        const val DRAIN_MS = 2_000L
    }
}
