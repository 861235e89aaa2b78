/*
 * Chooses the members of the next replicas and what spares hold. Answers the steady loss of members: a replica is formed
 * from workers that already hold its model, so that it is back within a second.
 */
package auburnhall.replica

import auburnhall.core.Model
import auburnhall.core.ReplicaName
import auburnhall.core.Worker

/** Workers that belong to no replica, by domain. */
class FreeWorkers(
    workers: List<Worker>,
) {
    private val byDomain = workers.groupBy { it.fabricDomain.orEmpty() }.mapValues { it.value.toMutableList() }.toMutableMap()

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
interface PlacementFacts {
    /** The model that [worker] was last ordered to hold since its start; null when not known. */
    fun lastModel(worker: Worker): String?

    /** Whether [worker] has been free long enough that others of its domain are listed, too. */
    fun isSettled(worker: Worker): Boolean

    /** Part of the slots of the model's replicas that is taken, from 0; null when not known. */
    fun pressure(model: String): Double?
}

/** Places replicas one at a time until the plan is met or no workers are left. */
class PlacementDraft(
    private val models: List<Model>,
    sizes: Map<String, Int>,
    serving: Map<Pair<String, String>, Int>,
    private val free: FreeWorkers,
    private val facts: PlacementFacts,
) {
    private val plan = Layout.plan(sizes, models)
    private val counts = serving.toMutableMap()

    /** The next replica to form; null when there is none. */
    fun next(): Placement? {
        val order = models.sortedWith(compareBy({ -(facts.pressure(it.name) ?: 0.0) }, { totalOf(it) / Layout.demand(it) }))
        for (model in order) {
            val placement = free.domains.sorted().firstNotNullOfOrNull { place(model, it) } ?: continue
            free.take(placement.members)
            counts.merge(placement.members.first().fabricDomain.orEmpty() to model.name, 1, Int::plus)
            return placement
        }
        return null
    }

    /** What each free worker that holds no model is to load, at most [loads] from the weight store. */
    fun spares(loads: Int): List<Placement> {
        var room = loads
        val placements = ArrayList<Placement>()
        for (domain in free.domains.sorted()) {
            val held = free.of(domain).mapNotNull { heldModel(it) }.groupingBy { it }.eachCount().toMutableMap()
            for (worker in free.of(domain).filter { !holdsAny(it) && facts.isSettled(it) }) {
                val model = stagedModel(worker) ?: spareModel(domain, held) ?: continue
                val staged = model.name in worker.stagedModels
                if (!staged && room <= 0) continue
                if (!staged) room--
                held.merge(model.name, 1, Int::plus)
                placements.add(Placement(model, listOf(worker)))
            }
        }
        placements.forEach { free.take(it.members) }
        return placements
    }

    /** Whether replicas of [model] are so few, or so full, that spares of other models are used for it. */
    private fun isShort(model: Model): Boolean {
        val planned = plan.values.sumOf { it[model.name] ?: 0 }
        val others = (models - model).maxOfOrNull { facts.pressure(it.name) ?: 0.0 } ?: 0.0
        val pressed = (facts.pressure(model.name) ?: 0.0) > maxOf(others, PRESSED)
        return pressed || totalOf(model) < planned * SHORT_SHARE
    }

    /** Whether [domain] holds all the replicas that it is to hold of the model of [worker]. */
    private fun isSpare(
        worker: Worker,
        domain: String,
    ): Boolean {
        val held = heldModel(worker) ?: stagedModel(worker)?.name ?: return true
        return (counts[domain to held] ?: 0) >= (plan[domain]?.get(held) ?: 0)
    }

    /**
     * Second models for free workers that hold one: what a spare keeps on its host covers the replicas of another model
     * of its domain. At most [loads] are fetched.
     */
    fun secondModels(loads: Int): List<Placement> =
        free.domains.sorted().flatMap { domain -> free.of(domain).mapNotNull { second(it, domain) } }.take(loads)

    private fun second(
        worker: Worker,
        domain: String,
    ): Placement? {
        val held = worker.membership?.replica?.let { ReplicaName.modelOf(it) } ?: return null
        if (worker.stagedModels.any { it != held }) return null
        val other = models
            .filter { it.name != held && (plan[domain]?.get(it.name) ?: 0) > 0 }
            .maxByOrNull { it.size } ?: return null
        return Placement(other, listOf(worker))
    }

    private fun totalOf(model: Model) = counts.filterKeys { it.second == model.name }.values.sum()

    private fun place(
        model: Model,
        domain: String,
    ): Placement? {
        val wanted = plan[domain]?.get(model.name) ?: 0
        val workers = free.of(domain)
        if ((counts[domain to model.name] ?: 0) >= wanted) return null
        val short = isShort(model)
        val usable = workers.filter { warmth(it, model) != Warmth.OTHER || (short && isSpare(it, domain)) }
        if (usable.size < model.size) return null
        val ranked = usable.sortedWith(compareBy({ warmth(it, model) }, { it.id }))
        return Placement(model, ranked.take(model.size))
    }

    /** The model whose members in [domain] are covered by the fewest spares, of which [held] are there by model. */
    private fun spareModel(
        domain: String,
        held: Map<String, Int>,
    ): Model? {
        fun spares(model: Model) = held[model.name] ?: 0

        fun members(model: Model) = (plan[domain]?.get(model.name) ?: 0) * model.size
        val here = models.filter { members(it) > 0 }.ifEmpty { models }
        return here.maxWithOrNull(compareBy({ members(it) / (spares(it) + 1) }, { -spares(it) }))
    }

    /** The model that is on the host already, so that nothing has to be fetched. */
    private fun stagedModel(worker: Worker): Model? = models.firstOrNull { it.name in worker.stagedModels }

    private fun heldModel(worker: Worker): String? =
        worker.membership?.replica?.let { ReplicaName.modelOf(it) }
            ?: facts.lastModel(worker)
            ?: worker.loadedModels.firstOrNull()

    private fun holdsAny(worker: Worker) = heldModel(worker) != null

    private fun warmth(
        worker: Worker,
        model: Model,
    ): Warmth {
        val held = heldModel(worker)
        return when {
            held == model.name -> Warmth.LOADED
            model.name in worker.stagedModels -> Warmth.STAGED
            held == null && stagedModel(worker) == null -> Warmth.COLD
            else -> Warmth.OTHER
        }
    }

    private companion object {
        /** Part of the planned replicas below which a model is short. */
        const val SHORT_SHARE = 0.7

        /** Part of the slots beyond which a model is full for its latency. */
        const val PRESSED = 0.6
    }

    /** How soon a worker serves a model, the soonest first. */
    private enum class Warmth { LOADED, STAGED, COLD, OTHER }
}
