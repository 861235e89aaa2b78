/*
 * Admission: queueing with early refusal beside first come, first served without refusal. Both use the routing that
 * ships.
 */
package auburnhall.bench.admission

import auburnhall.bench.load.Arrivals
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
import auburnhall.routing.RoutingSettings

/** Measures admission under load and overload. */
object AdmissionBench {
    private val retries = RetryRule { attempts -> if (attempts <= 2) 0.0 else null }

    private val policies =
        listOf(
            Policies("weighted queue, early refusal") { retries to {} },
            Policies(
                "first come, no refusal",
                RoutingSettings(engineQueueShare = NO_BOUND),
                AdmissionSettings(refuseEarly = false),
            ) { retries to {} },
        )

    /** Runs all alternatives and writes their tables to [out]. */
    fun run(out: Appendable) {
        for (workload in listOf(Workload.SHOP_DAY, Workload.NIGHT_COPY)) {
            for (level in listOf(USUAL, FULL, OVERLOAD)) {
                for (faults in listOf(FaultPlan.None, FaultPlan.DarkDataCentre)) {
                    out.appendLine("${workload.name} at ${(level * PERCENT).toInt()}% of capacity, faults: $faults")
                    out.appendLine()
                    out.table(HEAD, policies.map { row(it, workload, level, faults) })
                }
            }
        }
    }

    private fun row(
        policy: Policies,
        workload: Workload,
        level: Double,
        faults: FaultPlan,
    ): List<String> {
        val conditions = SEEDS.map { Conditions(workload, level, faults, it) }
        val runs = experiments(conditions, policy)

        fun of(figure: (Tally) -> Double) = Spread(runs.map(figure))
        return listOf(
            policy.name,
            of { PERCENT * it.count(Ending.GOOD) / it.offered }.text(),
            of { PERCENT * it.goodTokens / bound(conditions[0], it) }.text(),
            of { PERCENT * worstTeam(conditions[0], it) }.text(),
            of { PERCENT * it.count(Ending.LATE) / it.offered }.text(),
            of { it.firstTokenMillis(P95) }.text(0),
            of { it.answerMillis(P95) }.text(0),
            of { PERCENT * it.idleWhileWaiting / it.observed }.text(2),
            runs.last().refusals.toString(),
        )
    }

    /** Tokens of all requests, or what all replicas can generate until the last request's deadline if that is less. */
    private fun bound(
        conditions: Conditions,
        tally: Tally,
    ): Double {
        val cluster = conditions.cluster
        val most = cluster.replicas * cluster.engine.fullRate * conditions.millis / MILLIS_PER_SECOND
        return minOf(most, tally.offered * conditions.workload.meanTokens)
    }

    /** The smallest part of its requests that any of the small teams had answered in time. */
    private fun worstTeam(
        conditions: Conditions,
        tally: Tally,
    ): Double = Arrivals(conditions.workload, conditions.seed).teams.drop(LARGE_TEAMS).minOf { tally.goodPart(it.id) }

    private val HEAD =
        listOf(
            "policy",
            "in time %",
            "of the bound %",
            "worst small team %",
            "late %",
            "first token p95 ms",
            "answer p95 ms",
            "idle while waiting %",
            "refusals (last seed)",
        )
    private val SEEDS = (1L..RUNS).toList()
    private const val RUNS = 3L
    private const val USUAL = 0.7
    private const val FULL = 1.0
    private const val OVERLOAD = 2.0
    private const val LARGE_TEAMS = 3
    private const val PERCENT = 100.0
    private const val P95 = 95.0
    private const val NO_BOUND = 1e6
    private const val MILLIS_PER_SECOND = 1_000.0
}
