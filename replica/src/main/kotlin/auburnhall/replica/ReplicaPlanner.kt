/*
 * How many replicas of each model a fabric domain holds when it is whole. Answers the standing load: the model that is
 * shortest of replicas for its work gets as many as fit, and each domain keeps a reserve of spares that replace lost
 * members.
 */
package auburnhall.replica

import auburnhall.core.Model
import kotlin.math.ceil

/** Replicas by model that one domain is to hold. */
typealias DomainPlan = Map<String, Int>

/** Plans for domains of given sizes. */
object ReplicaPlanner {
    /** Part of a domain's workers that is held in reserve. */
    private const val RESERVE_SHARE = 0.15

    /**
     * Replicas, as a multiple of what its work calls for beside the shortest model, beyond which a model gets no
     * more.
     */
    private const val SURPLUS = 1.2

    private const val MIN_DEMAND = 0.001

    /** Spares that a domain of [workers] keeps. */
    fun reserve(workers: Int): Int = ceil(workers * RESERVE_SHARE).toInt()

    /** Replicas of [model] for each worker of the fleet; a model's share is stated in workers. */
    fun demand(model: Model): Double = (model.share / model.size).coerceAtLeast(MIN_DEMAND)

    /**
     * The plan by domain. The largest domain is taken for a whole one: smaller ones have lost workers and use up their
     * reserve. Large replicas are placed first, since small ones fill what they leave; of all numbers of
     * large replicas the one is taken that leaves the shortest model with most.
     */
    fun plan(
        sizes: Map<String, Int>,
        models: List<Model>,
    ): Map<String, DomainPlan> {
        val nominal = sizes.values.maxOrNull() ?: 0
        val most = nominal - reserve(nominal)
        val room = sizes.mapValues { (_, workers) -> minOf(workers, most) }
        if (models.isEmpty()) return sizes.mapValues { emptyMap() }
        return best(models.sortedByDescending { it.size }, Draft(room, emptyMap()), models).byDomain(sizes.keys)
    }

    private fun best(
        models: List<Model>,
        draft: Draft,
        all: List<Model>,
    ): Draft {
        val model = models.first()
        val rest = models.drop(1)
        if (rest.isEmpty()) return draft.fill(model, all)
        return draft
            .steps(model)
            .map { best(rest, it, all) }
            .maxWith(compareBy({ it.shortest(all) }, { it.replicas }))
    }

    private class Draft(
        val room: Map<String, Int>,
        val placed: Map<Pair<String, String>, Int>,
    ) {
        val replicas: Int get() = placed.values.sum()

        fun shortest(models: List<Model>): Double = models.minOf { count(it) / demand(it) }

        fun byDomain(domains: Set<String>): Map<String, DomainPlan> =
            domains.associateWith { domain ->
                placed.filterKeys { it.first == domain }.entries.associate { it.key.second to it.value }
            }

        /** This draft with none, one, two and so on of [model], as many as fit. */
        fun steps(model: Model): List<Draft> = generateSequence(this) { it.add(model) }.toList()

        /** Adds [model] until it has plenty for its work or nothing fits. */
        fun fill(
            model: Model,
            all: List<Model>,
        ): Draft {
            val others = (all - model).minOfOrNull { count(it) / demand(it) } ?: Double.MAX_VALUE
            val plenty = others * demand(model) * SURPLUS
            return generateSequence(this) { if (it.count(model) >= plenty) null else it.add(model) }.last()
        }

        private fun count(model: Model) = placed.filterKeys { it.second == model.name }.values.sum()

        private fun add(model: Model): Draft? {
            val domain =
                room.entries
                    .filter { it.value >= model.size }
                    .minWithOrNull(compareBy({ placed[it.key to model.name] ?: 0 }, { -it.value }, { it.key }))
                    ?.key ?: return null
            val key = domain to model.name
            return Draft(
                room + (domain to room.getValue(domain) - model.size),
                placed + (key to (placed[key] ?: 0) + 1),
            )
        }
    }
}

/**
 * Remembers the last plans: they are asked for at each decision and change only when a domain gains or loses workers.
 * Control thread only.
 */
class ReplicaPlanCache {
    private val known =
        object : LinkedHashMap<Pair<Map<String, Int>, List<Model>>, Map<String, DomainPlan>>() {
            override fun removeEldestEntry(
                eldest: MutableMap.MutableEntry<Pair<Map<String, Int>, List<Model>>, Map<String, DomainPlan>>,
            ) = size > KEPT
        }

    /** The plan of [ReplicaPlanner.plan]. */
    fun plan(
        sizes: Map<String, Int>,
        models: List<Model>,
    ): Map<String, DomainPlan> = known.getOrPut(sizes to models) { ReplicaPlanner.plan(sizes, models) }

    private companion object {
        /** Sizes as they are and as they would be with all workers, before and after a loss. */
        const val KEPT = 8
    }
}
