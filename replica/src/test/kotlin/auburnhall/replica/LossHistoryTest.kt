package auburnhall.replica

import auburnhall.replica.ReplicaSimulation.Companion.LARGE
import auburnhall.replica.ReplicaSimulation.Companion.SMALL
import org.junit.jupiter.api.Assertions.assertEquals
import org.junit.jupiter.api.Assertions.assertTrue
import org.junit.jupiter.api.Test

class LossHistoryTest {
    /** Guards against a model that stays short of replicas while its members are lost and replaced elsewhere. */
    @Test
    fun `losses every three seconds leave each model the replicas that its callers need`() {
        for (seed in 1..SEEDS) {
            val history = LossHistory(seed).apply { start() }
            history.play(ROUNDS)
            println("seed = $seed short_ms = ${history.shortMs} open = ${history.open()}")
            assertEquals(emptyList<String>(), history.simulation.violations, "seed $seed")
            assertTrue(history.shortMs.getValue(LARGE) <= MAX_SHORT_MS, "seed $seed: ${history.shortMs}")
            assertTrue(history.shortMs.getValue(SMALL) <= MAX_SHORT_MS, "seed $seed: ${history.shortMs}")
        }
    }

    /** Guards against formations and loads where no request is sent, and against idle reserves elsewhere. */
    @Test
    fun `an evacuated data centre keeps its replicas, and the others use their reserve`() {
        val history = LossHistory(1).apply { start() }
        val simulation = history.simulation
        val before = history.open().getValue(SMALL)
        val (there, _) = simulation.openHeads().partition { simulation.dataCentreOf(it.domain) == "z0" }
        simulation.controller.evacuated = setOf("z0")
        simulation.movedDataCentres.clear()
        simulation.add("d0")
        simulation.kill(simulation.worker(there.last().members.last()))
        simulation.controller.onSuspect(checkNotNull(there.last().membership).key)
        simulation.run(8_000)
        assertEquals(setOf("z1", "z2"), simulation.movedDataCentres)
        assertEquals(there - there.last(), simulation.openHeads().filter { simulation.dataCentreOf(it.domain) == "z0" })
        assertTrue(history.open().getValue(SMALL) > before, "${history.open()}")
        simulation.controller.evacuated = emptySet()
        simulation.run(20_000)
        assertEquals(9, history.open().getValue(LARGE))
        assertEquals(emptyList<String>(), simulation.violations)
    }

    private companion object {
        const val SEEDS = 5
        const val ROUNDS = 14

        /** A tenth of the history. */
        const val MAX_SHORT_MS = 12_000L
    }
}
