/*
 * Chooses the members of the next replicas and what spares hold. Answers the steady loss of members: a replica is
 * formed from workers that already hold its model, so that it is back within a second.
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

    /** Domains with a free worker. */
    val domains: Set<String> get() = byDomain.filterValues { it.isNotEmpty() }.keys

    /** The free workers of [domain]. */
    fun of(domain: String): List<Worker> = byDomain[domain].orEmpty()

    /** Takes [workers] out. */
    fun take(workers: List<Worker>) {
        byDomain.values.forEach { it.removeAll(workers) }
    }
}

/** Members for one replica. */
data class Placement(
    val model: Model,
    val members: List<Worker>,
)

/** What the controller knows beside the list. */
interface PlacementContext {
    /** The model that [worker] was last ordered to hold since its start; null when not known. */
    fun lastModel(worker: Worker): String?

    /** For how long, in milliseconds, [worker] has been free. */
    fun freeMs(worker: Worker): Long

    /** Part of the slots of the model's replicas that is taken, from 0; null when not known. */
    fun slotUtilization(model: String): Double?
}

/** Replicas by domain and model. */
class DomainPlans(
    /** With the workers that there are. */
    val now: Map<String, DomainPlan>,
    /** With as many workers in each domain as in the largest. */
    val whole: Map<String, DomainPlan>,
)

/** Places replicas one at a time until the plan is met or no workers are left. */
class ReplicaPlacer(
    private val models: List<Model>,
    plans: DomainPlans,
    serving: Map<Pair<String, String>, Int>,
    private val free: FreeWorkers,
    private val placementContext: PlacementContext,
) {
    private val inventory = WeightInventory(models, placementContext)
    private val counts = serving.toMutableMap()
    private val wholePlan = plans.whole

    /** Replicas by domain and model that there are to be. */
    val plan: Map<String, DomainPlan> = plans.now

    /** The next replica to form; null when there is none. */
    fun next(): Placement? {
        val fullestFirst =
            compareBy<Model>(
                { -(placementContext.slotUtilization(it.name) ?: 0.0) },
                { totalOf(it) / ReplicaPlanner.demand(it) },
            )
        val domains = free.domains.sorted()
        val placement =
            models.sortedWith(fullestFirst).firstNotNullOfOrNull { model ->
                domains.firstNotNullOfOrNull { place(model, it) }
            }
        placement?.let(::take)
        return placement
    }

    private fun take(placement: Placement) {
        free.take(placement.members)
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
        val wanted = plan[domain]?.get(model.name) ?: 0
        if ((counts[domain to model.name] ?: 0) >= wanted) return null
        val short = isShort(model)
        val usable =
            free.of(domain).filter {
                inventory.locality(it, model) != WeightLocality.OTHER_MODEL ||
                    (short && isSpare(it, domain))
            }
        val ranked = usable.sortedWith(compareBy({ inventory.locality(it, model) }, { it.id }))
        return if (ranked.size < model.size) null else Placement(model, ranked.take(model.size))
    }

    /** Whether replicas of [model] are so few, or so full, that spares of other models are used for it. */
    private fun isShort(model: Model): Boolean {
        val planned = plan.values.sumOf { it[model.name] ?: 0 }
        val others = (models - model).maxOfOrNull { placementContext.slotUtilization(it.name) ?: 0.0 } ?: 0.0
        val pressed = (placementContext.slotUtilization(model.name) ?: 0.0) > maxOf(others, PRESSED)
        return pressed || totalOf(model) < planned * SHORT_SHARE
    }

    /**
     * Whether [domain] holds all the replicas of the model of [worker] that it holds when it is whole, or is not going
     * to be whole again soon.
     */
    private fun isSpare(
        worker: Worker,
        domain: String,
    ): Boolean {
        val model = inventory.held(worker) ?: inventory.staged(worker)?.name
        val filled = model == null || (counts[domain to model] ?: 0) >= (wholePlan[domain]?.get(model) ?: 0)
        return filled || placementContext.freeMs(worker) >= RETURN_MS
    }

    private fun totalOf(model: Model) = counts.filterKeys { it.second == model.name }.values.sum()

    private companion object {
        /** Part of the planned replicas below which a model is short. */
        const val SHORT_SHARE = 0.7

        /** Time in which the workers of a dark domain return after the first, in milliseconds. */
        const val RETURN_MS = 4_000L

        /** Part of the slots beyond which a model is full for its latency. */
        const val PRESSED = 0.6
    }
}
