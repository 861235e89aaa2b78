/*
 * Retries when a data centre goes dark: a budget beside three retries at once.
 */
package auburnhall.bench.retries

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
import auburnhall.routing.RetryBudget

/** Measures retries. */
object RetriesBench {
    private val policies =
        listOf(
            Policies("budget") { clock ->
                val budget = RetryBudget(clock)
                RetryRule { if (budget.tryRetry()) 0.0 else null } to { budget.onSuccess() }
            },
            Policies("three at once") { RetryRule { attempts -> if (attempts <= MOST_ATTEMPTS) 0.0 else null } to {} },
            Policies("none") { RetryRule { null } to {} },
        )

    /** Runs all alternatives and writes their tables to [out]. */
    fun run(out: Appendable) {
        for (level in listOf(USUAL, FULL, OVERLOAD)) {
            for (faults in listOf(FaultPlan.Deaths, FaultPlan.DarkDataCentre)) {
                out.appendLine("Shop day at ${(level * PERCENT).toInt()}% of capacity, faults: $faults")
                out.appendLine()
                out.table(HEAD, policies.map { row(it, level, faults) })
            }
        }
    }

    private fun row(
        policy: Policies,
        level: Double,
        faults: FaultPlan,
    ): List<String> {
        val runs = experiments(SEEDS.map { Conditions(Workload.SHOP_DAY, level, faults, it) }, policy)

        fun of(figure: (Tally) -> Double) = Spread(runs.map(figure))
        return listOf(
            policy.name,
            of { PERCENT * it.count(Ending.GOOD) / it.offered }.text(),
            of { PERCENT * it.count(Ending.FAILED) / it.offered }.text(2),
            of { PERCENT * it.count(Ending.LATE) / it.offered }.text(2),
            of { it.attempts.toDouble() / (it.offered - it.count(Ending.REFUSED)) }.text(DIGITS),
            of { it.answerMillis(P99) }.text(0),
        )
    }

    private val HEAD = listOf("policy", "in time %", "failed %", "late %", "attempts per admitted", "answer p99 ms")
    private val SEEDS = (1L..RUNS).toList()
    private const val RUNS = 3L
    private const val MOST_ATTEMPTS = 3
    private const val DIGITS = 3
    private const val USUAL = 0.7
    private const val FULL = 1.0
    private const val OVERLOAD = 2.0
    private const val PERCENT = 100.0
    private const val P99 = 99.0
}
