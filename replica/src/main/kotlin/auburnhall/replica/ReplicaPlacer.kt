/*
 * Chooses the members of the next replicas. Members are lost regularly, so a replica is formed from workers that
 * already have its model loaded where possible and then takes requests again within a second.
 */
package auburnhall.replica

import auburnhall.core.Model
import auburnhall.core.Worker

/** Workers that belong to no replica, by domain. */
class FreeWorkers(
    workers: List<Worker>,
) {
    private val byDomain =
        workers
            .groupBy {
                it.fabricDomain.orEmpty()
            }.mapValues { it.value.toMutableList() }
            .toMutableMap()

    /** Domains with at least one free worker. */
    val domains: Set<String> get() = byDomain.filterValues { it.isNotEmpty() }.keys

    /** The free workers of [domain]. */
    fun inDomain(domain: String): List<Worker> = byDomain[domain].orEmpty()

    /** Removes [workers] from the free ones. */
    fun remove(workers: List<Worker>) {
        byDomain.values.forEach { it.removeAll(workers) }
    }
}

/** Workers chosen to hold a model, as members of a replica in rank order or as a single spare. */
data class Placement(
    val model: Model,
    val members: List<Worker>,
)

/** Inputs for placement that are not in the worker list. */
interface PlacementContext {
    /** The model of the last replica that [worker] was ordered to join since its start; null when not known. */
    fun lastModel(worker: Worker): String?

    /** For how long, in milliseconds, [worker] has been free. */
    fun freeMs(worker: Worker): Long

    /** Share of the slots of the model's replicas that is in use, 0 or more; null when not known. */
    fun slotUtilization(model: String): Double?
}

/** Planned replicas by domain and model. */
class DomainPlans(
    /** With the workers that each domain has now. */
    val current: Map<String, DomainPlan>,
    /** With as many workers in each domain as in the largest. */
    val full: Map<String, DomainPlan>,
)

/** Places replicas one at a time until the plan is met or no suitable workers are left. */
class ReplicaPlacer(
    private val models: List<Model>,
    plans: DomainPlans,
    replicaCounts: Map<Pair<String, String>, Int>,
    private val free: FreeWorkers,
    private val placementContext: PlacementContext,
) {
    private val inventory = WeightInventory(models, placementContext)
    private val counts = replicaCounts.toMutableMap()
    private val fullPlan = plans.full

    /** The planned replicas by domain and model with the workers that there are now. */
    val plan: Map<String, DomainPlan> = plans.current

    /** Returns the next replica to form, for the model with the highest utilization first; null when there is none. */
    fun next(): Placement? {
        val mostUtilizedFirst =
            compareBy<Model>(
                { -(placementContext.slotUtilization(it.name) ?: 0.0) },
                { totalOf(it) / ReplicaPlanner.demand(it) },
            )
        val domains = free.domains.sorted()
        val placement =
            models.sortedWith(mostUtilizedFirst).firstNotNullOfOrNull { model ->
                domains.firstNotNullOfOrNull { place(model, it) }
            }
        placement?.let(::commit)
        return placement
    }

    private fun commit(placement: Placement) {
        free.remove(placement.members)
        val domain =
            placement.members
                .first()
                .fabricDomain
                .orEmpty()
        counts.merge(domain to placement.model.name, 1, Int::plus)
    }

    private fun place(
        model: Model,
        domain: String,
    ): Placement? {
        val planned = plan[domain]?.get(model.name) ?: 0
        if ((counts[domain to model.name] ?: 0) >= planned) return null
        val short = isShort(model)
        val usable =
            free.inDomain(domain).filter {
                inventory.locality(it, model) != WeightLocality.OTHER_MODEL ||
                    (short && isReassignable(it, domain))
            }
        val ranked = usable.sortedWith(compareBy({ inventory.locality(it, model) }, { it.id }))
        return if (ranked.size < model.size) null else Placement(model, ranked.take(model.size))
    }

    /** Whether [model] has so few replicas, or so highly utilized ones, that workers with other models may join it. */
    private fun isShort(model: Model): Boolean {
        val planned = plan.values.sumOf { it[model.name] ?: 0 }
        val others = (models - model).maxOfOrNull { placementContext.slotUtilization(it.name) ?: 0.0 } ?: 0.0
        val overloaded = (placementContext.slotUtilization(model.name) ?: 0.0) > maxOf(others, HIGH_UTILIZATION)
        return overloaded || totalOf(model) < planned * SHORTAGE_RATIO
    }

    /**
     * Whether [worker] may load another model: [domain] already holds as many replicas of the worker's model as it does
     * when it has all its workers, or the worker has been free for so long that the others are not expected back soon.
     */
    private fun isReassignable(
        worker: Worker,
        domain: String,
    ): Boolean {
        val model = inventory.loaded(worker) ?: inventory.staged(worker)?.name
        val filled = model == null || (counts[domain to model] ?: 0) >= (fullPlan[domain]?.get(model) ?: 0)
        return filled || placementContext.freeMs(worker) >= DOMAIN_RETURN_MS
    }

    private fun totalOf(model: Model) = counts.filterKeys { it.second == model.name }.values.sum()

    private companion object {
        /** Share of the planned replicas below which a model has too few. */
        const val SHORTAGE_RATIO = 0.7

        /** After an outage of a domain, all its workers are back within this time of the first one. */
        const val DOMAIN_RETURN_MS = 4_000L

        /** Share of slots in use beyond which a model's replicas are too full to meet their latency. */
        const val HIGH_UTILIZATION = 0.6
    }
}
