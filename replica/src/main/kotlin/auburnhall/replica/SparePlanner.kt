/*
 * Chooses which models spares load, so that several losses in a row can be covered: a spare without weights loads the
 * model that is short of replicas, else the one whose members in its domain have the fewest spares.
 */
package auburnhall.replica

import auburnhall.core.Model

/** What the replicas need of spares. */
class SpareNeeds(
    /** Planned replicas by domain and model. */
    val plan: Map<String, DomainPlan>,
    /** Replicas of each model relative to those of a complete fleet; below 1 the model is short of replicas. */
    val coverage: Map<String, Double>,
    /** Models that replicas wait for, by the worker that is to load them. */
    val loadsWanted: Map<WorkerIncarnation, Model>,
)

/** Plans the spares among the workers that are left in [free]. */
class SparePlanner(
    private val models: List<Model>,
    private val needs: SpareNeeds,
    private val free: FreeWorkers,
    private val placementContext: PlacementContext,
) {
    private val inventory = WeightInventory(models, placementContext)

    /**
     * Returns the model to load for each free worker without one, at most [loads] of them from the weight store, and
     * removes these workers from [free].
     */
    fun modelsToLoad(loads: Int): List<Placement> {
        val placements = free.domains.sorted().flatMap { inDomain(it) }
        val (staged, cold) = placements.partition { it.model.name in it.members.first().stagedModels }
        val chosen = staged + cold.take(loads)
        chosen.forEach { free.remove(it.members) }
        return chosen
    }

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
                val model =
                    needs.loadsWanted[worker.incarnation] ?: inventory.staged(worker) ?: shortModel(domain)
                        ?: leastCovered(domain, spares)
                model?.let { spares.merge(it.name, 1, Int::plus) }
                model?.let { Placement(it, listOf(worker)) }
            }
    }

    /** The model that is the furthest below its full number of replicas and can be served in [domain]. */
    private fun shortModel(domain: String): Model? =
        models
            .filter { (needs.coverage[it.name] ?: 1.0) < 1.0 && members(domain, it) > 0 }
            .minByOrNull { needs.coverage.getValue(it.name) }

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
    ) = (needs.plan[domain]?.get(model.name) ?: 0) * model.size

    private companion object {
        /** After an outage of a domain, its workers are listed one after the other within this time. */
        const val FREE_SETTLE_MS = 1_000L
    }
}
