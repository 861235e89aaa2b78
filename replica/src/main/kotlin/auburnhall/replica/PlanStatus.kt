/*
 * What operators see of the plan: open and planned replicas and the coverage, by data centre and model, and an event
 * when the planned number of a model changes.
 */
package auburnhall.replica

import auburnhall.core.Model
import auburnhall.core.ModelDemand
import auburnhall.core.Worker
import auburnhall.core.log
import kotlin.math.roundToInt

/** The replicas of one model in one data centre. */
data class ModelStatus(
    val dataCentre: String,
    val model: String,
    /** Replicas that are open or being formed. */
    val open: Int,
    val planned: Int,
    /** The replicas relative to those that the data centre's share of the workers has to provide. */
    val coverage: Double,
)

/** The plan at one moment, with the replicas that there are. */
class PlanSnapshot(
    val plan: Map<String, DomainPlan>,
    /** Replicas by domain and model. */
    val present: Map<Pair<String, String>, Int>,
    val counts: PlacementCounts,
    val demand: Map<String, ModelDemand>,
)

/** Derives the status of the models from the plan. Control thread only. */
class PlanStatus(
    private val context: ControllerContext,
) {
    private var planned: Map<String, Int> = emptyMap()

    /** Returns the status by data centre and model for the [workers] that may serve; logs changes of the plan. */
    fun update(
        models: List<Model>,
        workers: List<Worker>,
        snapshot: PlanSnapshot,
    ): List<ModelStatus> {
        val current = models.associate { it.name to snapshot.counts.plannedOf(it) }
        models.filter { current[it.name] != planned[it.name] }.forEach { log(it, current.getValue(it.name), snapshot) }
        planned = current
        val coverage = snapshot.counts.coverage()
        return workers.groupBy { it.dataCentre }.flatMap { (dataCentre, members) ->
            val domains = members.mapTo(HashSet()) { it.fabricDomain.orEmpty() }
            val share = members.size.toDouble() / workers.size
            models.map { status(it, dataCentre, domains, snapshot, share to coverage.getValue(it.name)) }
        }
    }

    private fun status(
        model: Model,
        dataCentre: String,
        domains: Set<String>,
        snapshot: PlanSnapshot,
        shareAndCoverage: Pair<Double, Double>,
    ): ModelStatus {
        val (share, coverage) = shareAndCoverage
        val open = domains.sumOf { snapshot.present[it to model.name] ?: 0 }
        val total = snapshot.counts.totalOf(model)
        val relative = if (total == 0) 0.0 else open / (total * share) * coverage
        return ModelStatus(
            dataCentre,
            model.name,
            open,
            domains.sumOf { snapshot.plan[it]?.get(model.name) ?: 0 },
            relative,
        )
    }

    private fun log(
        model: Model,
        planned: Int,
        snapshot: PlanSnapshot,
    ) {
        val demand = snapshot.demand[model.name]
        context.events.log(
            "plan.changed",
            "model" to model.name,
            "planned" to planned,
            "replicas" to snapshot.counts.totalOf(model),
            "requests" to demand?.let { it.slotsInUse + it.waiting },
            "slots" to demand?.slots,
            "coverage_percent" to (snapshot.counts.coverage().getValue(model.name) * PERCENT).roundToInt(),
        )
    }

    private companion object {
        const val PERCENT = 100
    }
}
