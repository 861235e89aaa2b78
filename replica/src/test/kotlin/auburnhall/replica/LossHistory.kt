/*
 * A history of losses on a fleet of nine domains of 18 workers: every 3 s two or three members of open replicas are
 * lost for good, and as many workers without weights start in other data centres.
 */
package auburnhall.replica

import auburnhall.core.Model
import auburnhall.core.ModelDemand
import auburnhall.core.ReplicaName
import auburnhall.replica.ReplicaSimulation.Companion.LARGE
import auburnhall.replica.ReplicaSimulation.Companion.SMALL
import kotlin.random.Random

/** Plays the history that [seed] determines. */
class LossHistory(
    seed: Int,
) {
    private val random = Random(seed)
    val simulation = ReplicaSimulation(domains = 9, workersPerDomain = 18, engine = ENGINE)

    /** Time in milliseconds for which each model had fewer replicas than [NEEDED]. */
    val shortMs = sortedMapOf(LARGE to 0L, SMALL to 0L)

    /** Replicas whose slots the callers fill, by model; null while the controller is not told. */
    var demand: Map<String, Double>? = null

    /** Starts the fleet without losses. */
    fun start() = simulation.run(START_MS)

    /** Runs [ms] milliseconds without losses and counts the time of shortage. */
    fun run(ms: Long) =
        repeat((ms / SAMPLE_MS).toInt()) {
            demand?.let { simulation.controller.demand = it.mapValues { (model, needed) -> count(model, needed) } }
            simulation.run(SAMPLE_MS)
            for (model in listOf(LARGE, SMALL)) {
                if (simulation.countComplete(model) <
                    NEEDED.getValue(model)
                ) {
                    shortMs.merge(model, SAMPLE_MS, Long::plus)
                }
            }
        }

    /** Plays [rounds] rounds of losses of 3 s each, after which [between] may add to the history. */
    fun play(
        rounds: Int,
        between: (round: Int) -> Unit = {},
    ) = repeat(rounds) { round ->
        repeat(random.nextInt(2, 4)) { loseMember() }
        run(ROUND_MS)
        between(round)
    }

    private fun count(
        model: String,
        needed: Double,
    ): ModelDemand {
        val slots = (open()[model] ?: 0) * ENGINE.slots
        val requests = (needed * ENGINE.slots).toInt()
        return ModelDemand(minOf(requests, slots), (requests - slots).coerceAtLeast(0), slots)
    }

    private fun loseMember() {
        val head = simulation.openHeads().filter { it.reachable }.random(random)
        val lost = simulation.worker(head.members.random(random))
        if (!lost.alive) return
        val key = checkNotNull(head.membership).key
        simulation.kill(lost)
        simulation.controller.onSuspect(key)
        val others = (0 until DOMAINS).map { "d$it" }
        val dataCentre = simulation.dataCentreOf(lost.domain)
        simulation.add(others.filter { simulation.dataCentreOf(it) != dataCentre }.random(random))
    }

    /** The open replicas by model. */
    fun open(): Map<String, Int> =
        simulation.openHeads().groupingBy { ReplicaName.modelOf(checkNotNull(it.membership).replica) }.eachCount()

    companion object {
        const val START_MS = 20_000L
        private const val ROUND_MS = 3_000L
        private const val SAMPLE_MS = 100L
        private const val DOMAINS = 9

        /** Replicas that callers need; the complete fleet holds 9 and 36. */
        val NEEDED = mapOf(LARGE to 8, SMALL to 30)

        val ENGINE =
            ReplicaSimulation.ENGINE.copy(
                models =
                    listOf(
                        Model(LARGE, size = 8, share = 0.5, pace = 1.0, coldLoadMs = 16_000, warmLoadMs = 1_600),
                        Model(SMALL, size = 2, share = 0.5, pace = 0.6, coldLoadMs = 12_000, warmLoadMs = 1_100),
                    ),
                coldLoadsPerSecond = 14.0,
                coldLoadsAtFullSpeed = 20,
            )
    }
}
