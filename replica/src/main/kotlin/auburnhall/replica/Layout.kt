/*
 * How many replicas of each model a fabric domain holds when it is whole. Answers the standing load: replicas of each
 * model in proportion to its share of the work, and in each domain a reserve of spares that replace lost members.
 */
package auburnhall.replica

import auburnhall.core.Model
import kotlin.math.ceil

/** Replicas by model that one domain is to hold. */
typealias DomainPlan = Map<String, Int>

/** Plans for domains of given sizes. */
object Layout {
    /** Part of a domain's workers that is held in reserve. */
    private const val RESERVE_SHARE = 0.15

    /** Spares that a domain of [workers] keeps. */
    fun reserve(workers: Int): Int = ceil(workers * RESERVE_SHARE).toInt()

    /** Work of [model] in units of a replica's time. */
    fun demand(model: Model): Double = (model.share * model.pace).coerceAtLeast(MIN_DEMAND)

    /**
     * Places replicas one at a time: the model with the fewest replicas for its work goes next, into the domain with the
     * most room, until no model fits anywhere.
     */
    fun plan(
        sizes: Map<String, Int>,
        models: List<Model>,
    ): Map<String, DomainPlan> {
        val room = sizes.mapValues { (_, workers) -> workers - reserve(workers) }.toMutableMap()
        val plans = sizes.mapValues { HashMap<String, Int>() }
        val counts = HashMap<String, Int>()
        while (true) {
            val (model, domain) = next(models, counts, room, plans) ?: return plans
            room.merge(domain, -model.size, Int::plus)
            plans.getValue(domain).merge(model.name, 1, Int::plus)
            counts.merge(model.name, 1, Int::plus)
        }
    }

    private fun next(
        models: List<Model>,
        counts: Map<String, Int>,
        room: Map<String, Int>,
        plans: Map<String, DomainPlan>,
    ): Pair<Model, String>? =
        models
            .sortedWith(compareBy({ (counts[it.name] ?: 0) / demand(it) }, { -demand(it) }))
            .firstNotNullOfOrNull { model -> roomiest(model, room, plans)?.let { model to it } }

    private fun roomiest(
        model: Model,
        room: Map<String, Int>,
        plans: Map<String, DomainPlan>,
    ): String? =
        room.entries
            .filter { it.value >= model.size }
            .minWithOrNull(compareBy({ plans.getValue(it.key)[model.name] ?: 0 }, { -it.value }, { it.key }))
            ?.key

    private const val MIN_DEMAND = 0.001
}
