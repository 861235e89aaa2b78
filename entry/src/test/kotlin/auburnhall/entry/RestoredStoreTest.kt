package auburnhall.entry

import org.junit.jupiter.api.Assertions.assertEquals
import org.junit.jupiter.api.DynamicTest
import org.junit.jupiter.api.Test
import org.junit.jupiter.api.TestFactory
import kotlin.random.Random

/** A store that comes back from an older copy, seen by many processes. */
class RestoredStoreTest {
    /** Processes that miss a restore because they are cut off, while the store reaches their revision again. */
    private fun restoredBehindACut(relayFrom: Int): SimulatedFleet {
        val fleet = SimulatedFleet(processes = 5, relayFrom = relayFrom)
        fleet.advance(SETTLE_MS)
        val copy = fleet.store.copy()
        fleet.writeConfiguration()
        repeat(4) { fleet.writeWorker(it) }
        fleet.advance(1_000)
        fleet.live.drop(3).forEach { it.cut = true }
        fleet.advance(100)
        fleet.restore(copy)
        fleet.writeConfiguration()
        fleet.advance(2_000)
        fleet.live.forEach { it.cut = false }
        fleet.advance(APPLY_MS)
        return fleet
    }

    @Test
    fun `a process that was cut off during a restore has the newest configuration`() {
        val fleet = restoredBehindACut(relayFrom = 1_000)
        assertEquals(emptyList<String>(), fleet.staleProcesses())
    }

    @Test
    fun `a process that was cut off during a restore has the newest configuration through a relay`() {
        val fleet = restoredBehindACut(relayFrom = 2)
        assertEquals(emptyList<String>(), fleet.staleProcesses())
    }

    @Test
    fun `a worker that is leaving takes no requests after a restore brings back its older entry`() {
        val fleet = SimulatedFleet(processes = 3, relayFrom = 1_000)
        fleet.advance(SETTLE_MS)
        val copy = fleet.store.copy()
        fleet.drainWorker(1)
        fleet.advance(1_000)
        fleet.restore(copy, rewritten = false)
        repeat(10) {
            fleet.advance(200)
            assertEquals(emptyList<String>(), fleet.processesThatUse(1))
        }
    }

    @Test
    fun `workers whose entries are not in the copy keep their requests until they have written them again`() {
        val fleet = SimulatedFleet(processes = 3, relayFrom = 1_000)
        fleet.advance(SETTLE_MS)
        val copy = fleet.store.copy()
        fleet.addWorker()
        fleet.advance(1_000)
        fleet.restore(copy, rewritten = false)
        fleet.advance(1_500)
        assertEquals(3, fleet.processesThatUse(fleet.workerCount - 1).size)
    }

    @Test
    fun `a part that is quarantined stays so, and is written again`() {
        val fleet = SimulatedFleet(processes = 3, relayFrom = 1_000)
        fleet.advance(SETTLE_MS)
        val copy = fleet.store.copy()
        fleet.quarantine("dead")
        fleet.advance(3_000)
        fleet.restore(copy)
        fleet.advance(6_000)
        assertEquals(emptyList<String>(), fleet.live.filter { "dead" !in it.quarantined }.map { it.name })
        assertEquals(setOf("auburnhall/quarantine/dead"), fleet.store.keys("auburnhall/quarantine/"))
    }

    @Test
    fun `processes register again after a restore that gives out their leases to others`() {
        val fleet = SimulatedFleet(processes = 5, relayFrom = 1_000)
        val copy = fleet.store.copy()
        fleet.advance(SETTLE_MS)
        fleet.restore(copy)
        fleet.advance(4_000)
        assertEquals(fleet.live.map { it.name }.toSet(), fleet.registered())
        assertEquals(List(5) { 4 }, fleet.live.map { it.peers.size })
    }

    @Test
    fun `terms after a restore have higher epochs than those before, and none is the first again`() {
        val fleet = SimulatedFleet(processes = 3, relayFrom = 1_000)
        val copy = fleet.store.copy()
        repeat(500) { fleet.writeWorker(0) }
        fleet.advance(SETTLE_MS)
        val before = fleet.lastTerm()
        fleet.advance(10_000)
        fleet.restore(copy)
        fleet.advance(6_000)
        val after = fleet.lastTerm()
        assertEquals(true, after.nextEpoch() > before.nextEpoch() + 1_000)
        assertEquals(false, after.firstStart)
    }

    @TestFactory
    fun `processes agree with the store, each other and the past, whatever happens around restores`() =
        (1L..SEEDS).map { seed ->
            DynamicTest.dynamicTest("seed = $seed") {
                val random = Random(seed)
                val relayFrom = if (random.nextBoolean()) 2 else 1_000
                val fleet = SimulatedFleet(processes = 3 + random.nextInt(18), relayFrom = relayFrom, seed = seed)
                fleet.advance(SETTLE_MS)
                RandomHistory(fleet, random).play()
                fleet.advance(RECOVERY_MS)
                assertEquals(emptyList<String>(), fleet.violations, "seed $seed")
                assertEquals(emptyList<String>(), fleet.staleProcesses(), "seed $seed")
                assertEquals(1, fleet.live.count { it.leading }, "controllers, seed $seed")
                assertEquals(fleet.live.map { it.name }.toSet(), fleet.registered(), "seed $seed")
                assertEquals(emptyList<String>(), fleet.processesThatMissPeers(), "seed $seed")
            }
        }

    private companion object {
        const val SEEDS = 60L
        const val SETTLE_MS = 8_000L

        /** Time within which a confirmed configuration is in force, the shortest of all deployments. */
        const val APPLY_MS = 2_000L

        /** Longer than the longest lease. */
        const val RECOVERY_MS = 14_000L
    }
}
