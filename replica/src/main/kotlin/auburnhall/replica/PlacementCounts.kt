/*
 * How many replicas of each model the domains hold, against how many are planned there.
 */
package auburnhall.replica

import auburnhall.core.Model

/** Planned replicas by domain and model. */
class DomainPlans(
    /** With the workers and the replicas that each domain has now. */
    val current: Map<String, DomainPlan>,
    /** With as many workers in each domain as in the largest. */
    val full: Map<String, DomainPlan>,
    /** Number of workers that each domain may put into replicas. */
    val capacity: Map<String, Int>,
    /** Replicas needed by model; null while the shares of the configuration apply. */
    val needed: Map<String, Double>? = null,
    /** The model that the free workers of a domain are kept for, by domain. */
    val reserved: Map<String, String> = emptyMap(),
)

/** The replicas that serve or are being formed, against the plans. */
class PlacementCounts(
    private val models: List<Model>,
    private val plans: DomainPlans,
    present: Map<Pair<String, String>, Int>,
) {
    private val counts = present.toMutableMap()

    /** Adds a replica of [model] in [domain]. */
    fun add(
        domain: String,
        model: Model,
    ) {
        counts.merge(domain to model.name, 1, Int::plus)
    }

    /** Number of replicas of [model]. */
    fun totalOf(model: Model): Int = counts.filterKeys { it.second == model.name }.values.sum()

    /** Number of replicas of [model] that are planned. */
    fun plannedOf(model: Model): Int = plans.current.values.sumOf { it[model.name] ?: 0 }

    /** Whether a further replica of [model] is planned in [domain]. */
    fun isPlanned(
        model: Model,
        domain: String,
    ): Boolean =
        isAllowed(model, domain) && (counts[domain to model.name] ?: 0) < (plans.current[domain]?.get(model.name) ?: 0)

    /** Whether [domain] holds as many replicas of [model] as it does when it has all its workers. */
    fun isFull(
        model: String,
        domain: String,
    ): Boolean = (counts[domain to model] ?: 0) >= (plans.full[domain]?.get(model) ?: 0)

    /** Whether [domain] has as many workers beyond its reserve and its replicas as [model] needs. */
    fun fits(
        model: Model,
        domain: String,
    ): Boolean = isAllowed(model, domain) && freeCapacity(domain) >= model.size

    /** Number of workers that [domain] may put into further replicas. */
    fun freeCapacity(domain: String): Int =
        ((plans.capacity[domain] ?: 0) - ReplicaPlanner.used(domain, models, counts)).coerceAtLeast(0)

    private fun isAllowed(
        model: Model,
        domain: String,
    ) = plans.reserved[domain].let { it == null || it == model.name }

    /** The replicas of each model, relative to those of a fleet whose domains have all their workers. */
    fun coverage(): Map<String, Double> =
        models.associate { model ->
            val full =
                plans.needed?.get(model.name) ?: plans.full.values
                    .sumOf { it[model.name] ?: 0 }
                    .toDouble()
            model.name to if (full == 0.0) 1.0 else totalOf(model) / full
        }

    /** Orders models by shortage, the greatest first; by [utilization] where the need is not known. */
    fun shortestFirst(utilization: (String) -> Double?): Comparator<Model> {
        val needed = plans.needed
        return if (needed != null) {
            compareBy { totalOf(it) / needed.getValue(it.name) }
        } else {
            compareBy({ -(utilization(it.name) ?: 0.0) }, { totalOf(it) / ReplicaPlanner.demand(it) })
        }
    }
}
