/*
 * Group downtime against stranded accelerators: the placement that ships beside its baselines, for what each deployment
 * weighs more, over a month of failures; and what replica control costs as a data centre grows.
 */
package auburnhall.bench.placement

import auburnhall.core.ModelSpec
import auburnhall.replica.PlacementState
import auburnhall.replica.PlacementStep
import auburnhall.replica.plan
import java.util.Locale
import kotlin.random.Random

private const val SEEDS = 5
private const val REPLICA_SIZE = 4
private const val ACCELERATORS_PER_INSTANCE = 2
private const val SECONDS_PER_HOUR = 3_600.0
private const val PERCENT = 100.0
private const val DOWNTIME = "downtime, replica-hours | of what served at best | below need, replica-hours"
private const val STRANDED = "stranded, accelerator-hours | served of the bound | across domains"
private const val DOMAINS_PER_DATA_CENTRE = 5

/** Prints the tables of placement. */
class PlacementBench {
    /** Runs everything and writes the tables as Markdown. */
    fun run(out: Appendable) {
        out.appendLine("$MONTH_DAYS days, seeds 1 to $SEEDS: mean (least to most)")
        out.appendLine()
        out.appendLine("| policy | $DOWNTIME | $STRANDED |")
        out.appendLine("|---|---|---|---|---|---|---|")
        policies().forEach { out.appendLine(row(it)) }
        SlopeBench().run(out)
    }

    private fun policies(): List<PlacementPolicy> =
        listOf(
            PlacementPolicy(
                "Cunas del Plata: 4 spares per data centre, across domains",
                spec(REPLICA_SIZE, true),
                ::plan,
            ),
            PlacementPolicy("Kōwhai: no spares, across domains", spec(0, true), ::plan),
            PlacementPolicy("no spares, one domain", spec(0, false), ::plan),
            PlacementPolicy("4 spares, one domain", spec(REPLICA_SIZE, false), ::plan),
            PlacementPolicy("all spares: 4 per domain", spec(REPLICA_SIZE * DOMAINS_PER_DATA_CENTRE, false), ::plan),
            PlacementPolicy("first fit, one domain", spec(0, false), ::firstFit),
        )

    private fun spec(
        spares: Int,
        crossDomain: Boolean,
    ) = ModelSpec("chat", "1", REPLICA_SIZE, spareInstances = spares, crossDomain = crossDomain)

    private fun row(policy: PlacementPolicy): String {
        val months = (1..SEEDS).map { month(policy, it) }
        val cells =
            listOf(
                spread(months) { it.downtime / SECONDS_PER_HOUR },
                spread(months) { PERCENT * it.downtime / it.wanted } + " %",
                spread(months) { it.shortOfNeed / SECONDS_PER_HOUR },
                spread(months) { it.stranded * ACCELERATORS_PER_INSTANCE / SECONDS_PER_HOUR },
                spread(months) { PERCENT * it.serving / it.bound } + " %",
                spread(months) { PERCENT * it.crossDomain / it.serving } + " %",
            )
        return "| ${policy.name} | ${cells.joinToString(" | ")} |"
    }

    private fun month(
        policy: PlacementPolicy,
        seed: Int,
    ): MonthSums {
        val fleet = measuredFleet()
        val outages = monthOfOutages(fleet, Random(seed))
        return fleet
            .groupBy { it.dataCentre }
            .values
            .map { PlacementMonth(it, outages, policy).run() }
            .reduce(MonthSums::plus)
    }

    /** Mean, least and most over the seeds. */
    private fun spread(
        months: List<MonthSums>,
        figure: (MonthSums) -> Double,
    ): String {
        val f = months.map(figure)
        return String.format(Locale.ROOT, "%.2f (%.2f to %.2f)", f.average(), f.min(), f.max())
    }
}

/** The first domain by name that has room, without spares or a limit on loading. */
private fun firstFit(state: PlacementState): List<PlacementStep> {
    val need = state.needs.single()
    val size = need.spec.instancesPerReplica
    return state.free
        .sorted()
        .groupBy { state.domains.getValue(it) }
        .toSortedMap(compareBy { it?.value })
        .values
        .flatMap { it.chunked(size) }
        .filter { it.size == size }
        .map { PlacementStep.Form(need.spec.name, need.spec.version, it) }
}
