package auburnhall.routing

import org.junit.jupiter.api.Assertions.assertTrue
import org.junit.jupiter.api.Test

/** 122 processes with uneven rates and reports of every age choose among 35 replicas of three data centres. */
class ChoosersTest {
    /** Plays the phases with each seed and prints their figures; returns them by phase. */
    private fun play(leases: Boolean): Map<String, SpreadingFigures> {
        val phases = SEEDS.map { playPhases(SpreadingSimulation(it, TOTAL_PERIOD_MS, leases)) }
        val sums = phases.first().keys.associateWith { name -> SpreadingFigures.sum(phases.map { it.getValue(name) }) }
        println("seeds $SEEDS, leases $leases")
        sums.forEach { (name, figures) -> println("%-22s %s".format(name, figures)) }
        return sums
    }

    private fun playPhases(simulation: SpreadingSimulation): Map<String, SpreadingFigures> {
        val phases = LinkedHashMap<String, SpreadingFigures>()
        phases["start"] = simulation.play(3_000, 0.85)
        phases["0.6 of the slots"] = simulation.play(3_000, 0.6)
        phases[STEADY] = simulation.play(5_000, 0.85)
        phases[HIGH] = simulation.play(5_000, 0.95)
        phases["burst of 1.2"] = simulation.play(1_500, 1.2)
        phases["after the burst"] = simulation.play(3_000, 0.85)
        simulation.loseReplica()
        phases[LOSS] = simulation.play(2_000, 0.85)
        simulation.evacuate("c")
        phases["data centre evacuated"] = simulation.play(3_000, 0.85)
        return phases
    }

    /** Guards against requests that queue at full targets while others have free slots. */
    @Test
    fun `with leases fewer of the requests of 122 choosers reach a full target and are late`() {
        val before = play(leases = false)
        val after = play(leases = true)
        for (phase in listOf(STEADY, HIGH, LOSS)) {
            val (old, new) = before.getValue(phase) to after.getValue(phase)
            assertTrue(new.share(new.toFull) < old.share(old.toFull) / 2, "$phase, to full: $old, $new")
            assertTrue(new.share(new.late) < old.share(old.late), "$phase, late: $old, $new")
        }
    }

    private companion object {
        val SEEDS = listOf(5L, 6L, 7L, 8L)
        const val STEADY = "0.85 of the slots"
        const val HIGH = "0.95 of the slots"
        const val LOSS = "a replica lost"
        const val TOTAL_PERIOD_MS = 110L
    }
}
