/*
 * Plans how many replicas of each model each fabric domain holds. Designed for the normal load: the model with the
 * fewest replicas for its demand gets as many as fit, and each domain keeps a reserve of spares that replace lost
 * members. A domain that has lost workers uses up its reserve before it holds fewer replicas.
 */
package auburnhall.replica

import auburnhall.core.Model
import kotlin.math.ceil

/** Number of replicas that one domain is to hold, by model. */
typealias DomainPlan = Map<String, Int>

/** Plans the replicas for domains of given sizes. */
object ReplicaPlanner {
    /** Share of a domain's workers that is lost within the time that a replacement takes, with a margin. */
    private const val RESERVE_SHARE = 0.08

    /** Two losses in a row are covered in a domain of any size. */
    private const val MIN_RESERVE = 2

    /**
     * The model with the smallest replicas gets no more of them once its replicas per demand reach this multiple of the
     * lowest replicas per demand among the other models.
     */
    private const val SURPLUS_FACTOR = 1.2

    private const val MIN_DEMAND = 0.001

    /** Number of spares that a domain of [workers] workers keeps. */
    fun reserve(workers: Int): Int = maxOf(ceil(workers * RESERVE_SHARE).toInt(), minOf(MIN_RESERVE, workers))

    /** Replicas of [model] needed per worker of the fleet; its share of the load is its share of the workers. */
    fun demand(model: Model): Double = (model.share / model.size).coerceAtLeast(MIN_DEMAND)

    /** The demand of [models] by name, where [needed] is the number of replicas needed; null if that is not known. */
    fun demands(
        models: List<Model>,
        needed: Map<String, Double>?,
    ): Map<String, Double> = needed ?: models.associate { it.name to demand(it) }

    /**
     * Returns the plan by domain for domains with [sizes] workers. The largest domain is assumed to be complete;
     * smaller ones have lost workers and use up their reserve; with [useReserve] all do. Models with large replicas are
     * placed first, since small replicas fit into the rest. Of all possible numbers of large replicas, the one is
     * chosen that gives the model with the fewest replicas per demand the most. The replicas that are [present], by
     * domain and model, stay.
     */
    fun plan(
        sizes: Map<String, Int>,
        models: List<Model>,
        present: Map<Pair<String, String>, Int> = emptyMap(),
        useReserve: Boolean = false,
        demands: Map<String, Double> = demands(models, null),
    ): Map<String, DomainPlan> {
        if (models.isEmpty()) return sizes.mapValues { emptyMap() }
        val freeWorkers =
            capacity(sizes, useReserve).mapValues { (domain, workers) ->
                workers -
                    used(domain, models, present)
            }
        return best(models.sortedByDescending { it.size }, PartialPlan(freeWorkers, present, demands), models)
            .byDomain(sizes.keys)
    }

    /**
     * Number of workers that each of the domains with [sizes] workers may put into replicas: with [useReserve] all of
     * them.
     */
    fun capacity(
        sizes: Map<String, Int>,
        useReserve: Boolean = false,
    ): Map<String, Int> {
        if (useReserve) return sizes
        val fullSize = sizes.values.maxOrNull() ?: 0
        val maxMembers = fullSize - reserve(fullSize)
        return sizes.mapValues { (_, workers) -> minOf(workers, maxMembers) }
    }

    /** Number of workers of [domain] that are members of the replicas that are [present]. */
    fun used(
        domain: String,
        models: List<Model>,
        present: Map<Pair<String, String>, Int>,
    ): Int = models.sumOf { (present[domain to it.name] ?: 0) * it.size }

    private fun best(
        models: List<Model>,
        partial: PartialPlan,
        allModels: List<Model>,
    ): PartialPlan {
        val model = models.first()
        val rest = models.drop(1)
        if (rest.isEmpty()) return partial.fill(model, allModels)
        return partial
            .withEachCount(model)
            .map { best(rest, it, allModels) }
            .maxWith(compareBy({ it.lowestCoverage(allModels) }, { it.replicaCount }))
    }

    private class PartialPlan(
        val freeWorkers: Map<String, Int>,
        val placed: Map<Pair<String, String>, Int>,
        val demands: Map<String, Double>,
    ) {
        val replicaCount: Int get() = placed.values.sum()

        /** The lowest number of replicas per demand among [models]. */
        fun lowestCoverage(models: List<Model>): Double = models.minOf { count(it) / demandOf(it) }

        fun byDomain(domains: Set<String>): Map<String, DomainPlan> =
            domains.associateWith { domain ->
                placed.filterKeys { it.first == domain }.entries.associate { it.key.second to it.value }
            }

        /** This plan with none, one, two and so on replicas of [model] added, as many as fit. */
        fun withEachCount(model: Model): List<PartialPlan> = generateSequence(this) { it.add(model) }.toList()

        /** Adds replicas of [model] until it has enough compared with the other models or none fits. */
        fun fill(
            model: Model,
            allModels: List<Model>,
        ): PartialPlan {
            val others = (allModels - model).minOfOrNull { count(it) / demandOf(it) } ?: Double.MAX_VALUE
            val enough = others * demandOf(model) * SURPLUS_FACTOR
            return generateSequence(this) { if (it.count(model) >= enough) null else it.add(model) }.last()
        }

        private fun demandOf(model: Model) = demands.getValue(model.name)

        private fun count(model: Model) = placed.filterKeys { it.second == model.name }.values.sum()

        private fun add(model: Model): PartialPlan? {
            val domain =
                freeWorkers.entries
                    .filter { it.value >= model.size }
                    .minWithOrNull(compareBy({ placed[it.key to model.name] ?: 0 }, { -it.value }, { it.key }))
                    ?.key ?: return null
            val key = domain to model.name
            return PartialPlan(
                freeWorkers + (domain to freeWorkers.getValue(domain) - model.size),
                placed + (key to (placed[key] ?: 0) + 1),
                demands,
            )
        }
    }
}

/** What a plan depends on. */
private data class PlanInput(
    val sizes: Map<String, Int>,
    val models: List<Model>,
    val present: Map<Pair<String, String>, Int>,
    val useReserve: Boolean,
    val demands: Map<String, Double>,
)

/**
 * Caches the last plans: a plan is needed at each decision but changes only when a domain gains or loses workers or
 * replicas. Control thread only.
 */
class ReplicaPlanCache {
    private val plans =
        object : LinkedHashMap<PlanInput, Map<String, DomainPlan>>() {
            override fun removeEldestEntry(eldest: MutableMap.MutableEntry<PlanInput, Map<String, DomainPlan>>) =
                size > MAX_PLANS
        }

    /** Same as [ReplicaPlanner.plan]. */
    fun plan(
        sizes: Map<String, Int>,
        models: List<Model>,
        present: Map<Pair<String, String>, Int> = emptyMap(),
        useReserve: Boolean = false,
        demands: Map<String, Double> = ReplicaPlanner.demands(models, null),
    ): Map<String, DomainPlan> =
        plans.getOrPut(PlanInput(sizes, models, present, useReserve, demands)) {
            ReplicaPlanner.plan(sizes, models, present, useReserve, demands)
        }

    private companion object {
        /** Enough for the plans with current and with full domain sizes, before and after a loss. */
        const val MAX_PLANS = 8
    }
}
