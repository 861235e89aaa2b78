package auburnhall.replica

import auburnhall.core.MemberState
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
            history.demand = mapOf(LARGE to 8.0, SMALL to 30.0)
            history.play(ROUNDS)
            println("seed = $seed short_ms = ${history.shortMs} open = ${history.open()}")
            assertEquals(emptyList<String>(), history.simulation.violations, "seed $seed")
            assertTrue(history.shortMs.getValue(LARGE) <= MAX_SHORT_MS, "seed $seed: ${history.shortMs}")
            assertTrue(history.shortMs.getValue(SMALL) <= MAX_SHORT_MS, "seed $seed: ${history.shortMs}")
        }
    }

    /** Guards against a worker in two open replicas where conversions meet lost orders, take-overs and dark domains. */
    @Test
    fun `no worker is in two open replicas while domains go dark and controllers change`() {
        for (seed in 1..SEEDS) {
            val history = LossHistory(seed).apply { start() }
            history.simulation.orderLossRate = 0.05
            history.demand = mapOf(LARGE to 11.0, SMALL to 30.0)
            history.play(ROUNDS) { round ->
                val dark = history.simulation.workers.filter { it.domain == "d${round / 3}" }
                if (round % 3 == 0) dark.forEach { it.reachable = false }
                if (round % 3 == 2) dark.forEach { it.reachable = true }
                if (round == 4 || round == 9) history.simulation.replaceController(2_000_000L * round)
            }
            history.run(10_000)
            println("seed = $seed short_ms = ${history.shortMs} open = ${history.open()}")
            assertEquals(emptyList<String>(), history.simulation.violations, "seed $seed")
            assertTrue(history.open().getValue(LARGE) >= 7, "seed $seed: ${history.open()}")
        }
    }

    /** Guards against formations and loads where no request is sent, and against idle reserves elsewhere. */
    @Test
    fun `an evacuated data centre keeps its replicas, and the others use their reserve`() {
        val history = LossHistory(1).apply { start() }
        val simulation = history.simulation
        val before = history.open().getValue(SMALL)
        val (there, _) = simulation.openHeads().partition { simulation.dataCentreOf(it.domain) == "z0" }
        val status = simulation.controller.status
        assertEquals(listOf(3, 3, 3), status.filter { it.model == LARGE }.sortedBy { it.dataCentre }.map { it.open })
        assertEquals(1.0, status.first { it.model == SMALL }.coverage, 0.01)
        simulation.controller.evacuated = setOf("z0")
        simulation.movedDataCentres.clear()
        simulation.add("d0")
        simulation.kill(simulation.worker(there.last().members.last()))
        simulation.controller.onSuspect(checkNotNull(there.last().membership).key)
        simulation.run(8_000)
        assertEquals(setOf("z1", "z2"), simulation.movedDataCentres)
        assertEquals(there - there.last(), simulation.openHeads().filter { simulation.dataCentreOf(it.domain) == "z0" })
        assertTrue(history.open().getValue(SMALL) > before, "${history.open()}")
        assertEquals(setOf("z1", "z2"), simulation.controller.status.mapTo(HashSet()) { it.dataCentre })
        simulation.controller.evacuated = emptySet()
        simulation.run(20_000)
        assertEquals(9, history.open().getValue(LARGE))
        assertEquals(emptyList<String>(), simulation.violations)
    }

    /** Guards against plans that stay with the configured shares, and against replicas converted back and forth. */
    @Test
    fun `replicas follow the demand to the other model and back`() {
        val history = LossHistory(1).apply { start() }
        history.demand = mapOf(LARGE to 3.0, SMALL to 48.0)
        history.run(40_000)
        val smallDemand = history.open()
        history.demand = mapOf(LARGE to 10.5, SMALL to 20.0)
        history.run(60_000)
        val largeDemand = history.open()
        val closings = history.simulation.reportedClosings.size
        history.run(20_000)
        println("open = $smallDemand, then $largeDemand, closings = $closings")
        assertTrue(smallDemand.getValue(SMALL) >= 48, "$smallDemand")
        assertTrue(largeDemand.getValue(LARGE) >= 10, "$largeDemand")
        assertEquals(closings, history.simulation.reportedClosings.size)
        assertEquals(emptyList<ReplicaEpoch>(), history.simulation.reportedTeardowns)
        assertEquals(emptyList<String>(), history.simulation.violations)
    }

    /** Guards against a fleet with one model that stages, or whose replicas no longer take members without weights. */
    @Test
    fun `a replica of the only model is formed with a member that loads the weights`() {
        val engine = LossHistory.ENGINE.copy(models = LossHistory.ENGINE.models.take(1))
        val simulation = ReplicaSimulation(domains = 2, workersPerDomain = 10, engine = engine)
        simulation.run(LossHistory.START_MS)
        simulation.workers
            .filter { it.domain == "d0" }
            .take(3)
            .forEach { simulation.kill(it) }
        simulation.add("d0")
        simulation.run(6_000)
        assertEquals(1, simulation.workers.count { it.membership?.state == MemberState.JOINING })
        simulation.run(14_000)
        assertEquals(2, simulation.countComplete(LARGE))
        assertEquals(0, simulation.stagingLoadsAtMs.size)
    }

    private companion object {
        const val SEEDS = 5
        const val ROUNDS = 14

        /** A tenth of the history. */
        const val MAX_SHORT_MS = 12_000L
    }
}
