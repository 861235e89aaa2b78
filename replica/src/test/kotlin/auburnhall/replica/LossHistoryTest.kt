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

    private companion object {
        const val SEEDS = 5
        const val ROUNDS = 14

        /** A tenth of the history. */
        const val MAX_SHORT_MS = 12_000L
    }
}
