/*
 * Chooses which models spares hold, so that several losses in a row can be covered: a spare loads the model whose
 * members in its domain have the fewest spares, and stages a second model on its host. A replica of either can then be
 * formed without loading weights from the weight store.
 */
package auburnhall.replica

import auburnhall.core.Model
import auburnhall.core.Worker

/** Plans the spares among the workers that are left in [free]. */
class SparePlanner(
    private val models: List<Model>,
    private val plan: Map<String, DomainPlan>,
    private val free: FreeWorkers,
    private val placementContext: PlacementContext,
) {
    private val inventory = WeightInventory(models, placementContext)

    /** Returns the model to load for each free worker without one; at most [loads] are from the weight store. */
    fun modelsToLoad(loads: Int): List<Placement> {
        val placements = free.domains.sorted().flatMap { inDomain(it) }
        val (staged, cold) = placements.partition { it.model.name in it.members.first().stagedModels }
        val chosen = staged + cold.take(loads)
        chosen.forEach { free.remove(it.members) }
        return chosen
    }

    /** Returns the second models to stage on the hosts of free workers with a loaded one, at most [loads]. */
    fun modelsToStage(loads: Int): List<Placement> =
        free.domains
            .sorted()
            .flatMap { domain -> free.inDomain(domain).mapNotNull { secondModel(it, domain) } }
            .take(loads)

    private fun inDomain(domain: String): List<Placement> {
        val workers = free.inDomain(domain)
        val spares =
            workers
                .mapNotNull { inventory.loaded(it) }
                .groupingBy { it }
                .eachCount()
                .toMutableMap()
        return workers
            .filter { inventory.loaded(it) == null && placementContext.freeMs(it) >= FREE_SETTLE_MS }
            .mapNotNull { worker ->
                val model = inventory.staged(worker) ?: leastCovered(domain, spares)
                model?.let { spares.merge(it.name, 1, Int::plus) }
                model?.let { Placement(it, listOf(worker)) }
            }
    }

    private fun secondModel(
        worker: Worker,
        domain: String,
    ): Placement? {
        val loaded = worker.membership?.let { inventory.loaded(worker) }
        val others = models.filter { it.name != loaded && members(domain, it) > 0 }
        val hasOther = worker.stagedModels.any { it != loaded }
        return others
            .maxByOrNull { it.size }
            ?.takeIf { loaded != null && !hasOther }
            ?.let { Placement(it, listOf(worker)) }
    }

    /** The model with the most planned members per spare in [domain]; [spares] counts the spares by model. */
    private fun leastCovered(
        domain: String,
        spares: Map<String, Int>,
    ): Model? {
        val planned = models.filter { members(domain, it) > 0 }.ifEmpty { models }
        return planned.maxWithOrNull(
            compareBy({ members(domain, it) / ((spares[it.name] ?: 0) + 1) }, { -(spares[it.name] ?: 0) }),
        )
    }

    private fun members(
        domain: String,
        model: Model,
    ) = (plan[domain]?.get(model.name) ?: 0) * model.size

    private companion object {
        /** After an outage of a domain, its workers are listed one after the other within this time. */
        const val FREE_SETTLE_MS = 1_000L
    }
}
