/*
 * What spares hold. Answers losses one after the other: a spare holds the model whose members in its domain are
 * covered worst, and keeps another on its host, so that either is formed anew without fetching weights.
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

    /** What each free worker that holds no model is to load, at most [loads] from the weight store. */
    fun firstModels(loads: Int): List<Placement> {
        val placements = free.domains.sorted().flatMap { inDomain(it) }
        val (staged, cold) = placements.partition { it.model.name in it.members.first().stagedModels }
        val chosen = staged + cold.take(loads)
        chosen.forEach { free.take(it.members) }
        return chosen
    }

    /** Second models for the hosts of free workers that hold one; at most [loads] are fetched. */
    fun secondModels(loads: Int): List<Placement> =
        free.domains
            .sorted()
            .flatMap { domain -> free.of(domain).mapNotNull { second(it, domain) } }
            .take(loads)

    private fun inDomain(domain: String): List<Placement> {
        val workers = free.of(domain)
        val held =
            workers
                .mapNotNull { inventory.held(it) }
                .groupingBy { it }
                .eachCount()
                .toMutableMap()
        return workers
            .filter { inventory.held(it) == null && placementContext.freeMs(it) >= FREE_SETTLE_MS }
            .mapNotNull { worker ->
                val model = inventory.staged(worker) ?: leastCovered(domain, held)
                model?.let { held.merge(it.name, 1, Int::plus) }
                model?.let { Placement(it, listOf(worker)) }
            }
    }

    private fun second(
        worker: Worker,
        domain: String,
    ): Placement? {
        val held = worker.membership?.let { inventory.held(worker) }
        val others = models.filter { it.name != held && members(domain, it) > 0 }
        val has = worker.stagedModels.any { it != held }
        return others.maxByOrNull { it.size }?.takeIf { held != null && !has }?.let { Placement(it, listOf(worker)) }
    }

    private fun leastCovered(
        domain: String,
        held: Map<String, Int>,
    ): Model? {
        val here = models.filter { members(domain, it) > 0 }.ifEmpty { models }
        return here.maxWithOrNull(
            compareBy({ members(domain, it) / ((held[it.name] ?: 0) + 1) }, { -(held[it.name] ?: 0) }),
        )
    }

    private fun members(
        domain: String,
        model: Model,
    ) = (plan[domain]?.get(model.name) ?: 0) * model.size

    private companion object {
        /** Time in which the workers of a domain that returns are listed one after the other, in milliseconds. */
        const val FREE_SETTLE_MS = 1_000L
    }
}
