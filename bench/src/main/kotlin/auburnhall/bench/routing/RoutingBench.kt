/*
 * The choice of a replica. Every request is sent at once, without queueing at the entry process, so that nothing but
 * the choice differs between the rows.
 */
package auburnhall.bench.routing

import auburnhall.bench.load.Cluster
import auburnhall.bench.load.Conditions
import auburnhall.bench.load.Ending
import auburnhall.bench.load.FaultPlan
import auburnhall.bench.load.Policies
import auburnhall.bench.load.RetryRule
import auburnhall.bench.load.Spread
import auburnhall.bench.load.Tally
import auburnhall.bench.load.Workload
import auburnhall.bench.load.experiments
import auburnhall.bench.load.table
import auburnhall.limits.AdmissionSettings
import auburnhall.routing.Candidate
import auburnhall.routing.ReplicaScorer
import auburnhall.routing.RoutingSettings

/** The alternatives that are compared. */
sealed interface RoutingPolicy {
    /** Returns the choice that a process makes in [cluster]. */
    fun scorer(cluster: Cluster): ReplicaScorer

    /** Any replica. */
    data object RandomChoice : RoutingPolicy {
        override fun scorer(cluster: Cluster) = ReplicaScorer { all, random -> all[random.nextInt(all.size)] }
    }

    /** One after the other. */
    data object RoundRobin : RoutingPolicy {
        override fun scorer(cluster: Cluster): ReplicaScorer {
            var next = 0
            return ReplicaScorer { all, _ -> all[next++ % all.size] }
        }
    }

    /** The one with the fewest requests of this process. */
    data object LeastOutstanding : RoutingPolicy {
        override fun scorer(cluster: Cluster) = ReplicaScorer { all, random -> all.shuffled(random).minBy { it.own } }
    }

    /** The less loaded of two, by their reports. */
    data object TwoChoices : RoutingPolicy {
        override fun scorer(cluster: Cluster) =
            ReplicaScorer { all, random -> List(2) { all[random.nextInt(all.size)] }.minBy { reported(it) } }
    }

    /** The least loaded of all, by their reports. */
    data object LeastReported : RoutingPolicy {
        override fun scorer(cluster: Cluster) =
            ReplicaScorer { all, random -> all.shuffled(random).minBy { reported(it) } }
    }

    /** The one with the least work left, by the replicas' true present state and the true lengths. */
    data object Oracle : RoutingPolicy {
        override fun scorer(cluster: Cluster) =
            ReplicaScorer { all, random -> all.shuffled(random).minBy { trueCost(cluster, it) } }

        private fun trueCost(
            cluster: Cluster,
            candidate: Candidate,
        ): Double {
            val engine = cluster.engine(candidate.status.replica.id)
            return if (engine.isAlive) engine.load / engine.pace else Double.MAX_VALUE
        }
    }

    /** What ships. */
    data class Product(
        val settings: RoutingSettings = RoutingSettings(),
    ) : RoutingPolicy {
        override fun scorer(cluster: Cluster) = ReplicaScorer(settings)
    }
}

private fun reported(candidate: Candidate) = candidate.status.running + candidate.status.queued

/** Measures the choice of a replica. */
object RoutingBench {
    private val policies =
        listOf(
            RoutingPolicy.RandomChoice,
            RoutingPolicy.RoundRobin,
            RoutingPolicy.LeastOutstanding,
            RoutingPolicy.TwoChoices,
            RoutingPolicy.LeastReported,
            RoutingPolicy.Product(),
            RoutingPolicy.Oracle,
        )

    private val retries = RetryRule { attempts -> if (attempts <= 2) 0.0 else null }

    /** Runs all alternatives and writes their tables to [out]. */
    fun run(out: Appendable) {
        for (level in listOf(QUIET, USUAL, FULL)) {
            for (faults in listOf(FaultPlan.None, FaultPlan.Stragglers, FaultPlan.Deaths)) {
                out.appendLine("Shop day at ${(level * PERCENT).toInt()}% of capacity, faults: $faults")
                out.appendLine()
                out.table(HEAD, policies.map { row(it, level, faults) })
            }
        }
    }

    private fun row(
        policy: RoutingPolicy,
        level: Double,
        faults: FaultPlan,
    ): List<String> {
        val runs = runs(policy, SEEDS.map { Conditions(Workload.SHOP_DAY, level, faults, it) })

        fun of(figure: (Tally) -> Double) = Spread(runs.map(figure))
        return listOf(
            policy.toString().substringBefore('('),
            of { PERCENT * it.count(Ending.GOOD) / it.offered }.text(),
            of { it.firstTokenMillis(MEDIAN) }.text(0),
            of { it.firstTokenMillis(P95) }.text(0),
            of { it.firstTokenMillis(P99) }.text(0),
            of { it.answerMillis(P95) }.text(0),
        )
    }

    private fun runs(
        policy: RoutingPolicy,
        conditions: List<Conditions>,
    ): List<Tally> {
        val settings = RoutingSettings(engineQueueShare = NO_BOUND)
        val admission = AdmissionSettings(refuseEarly = false)
        return experiments(
            conditions,
            Policies("$policy", settings, admission, { policy.scorer(it) }) { retries to {} },
        )
    }

    private val HEAD = listOf("policy", "in time %", "first token p50 ms", "p95 ms", "p99 ms", "answer p95 ms")
    private val SEEDS = (1L..RUNS).toList()
    private const val RUNS = 5L
    private const val QUIET = 0.3
    private const val USUAL = 0.7
    private const val FULL = 1.0
    private const val PERCENT = 100.0
    private const val MEDIAN = 50.0
    private const val P95 = 95.0
    private const val P99 = 99.0
    private const val NO_BOUND = 1e6
}
