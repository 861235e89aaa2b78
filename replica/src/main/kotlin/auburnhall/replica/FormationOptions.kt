/*
 * The ways in which a domain can form a replica, and the choice among them by the expected time to service. Designed
 * for fleets that lose members every few seconds: a replica that waits for one member without weights keeps all its
 * other members idle for longer than it takes to form it elsewhere.
 */
package auburnhall.replica

import auburnhall.core.Model
import auburnhall.core.Worker

/** A load of a model by a worker that is expected to end in [remainingMs]. */
data class PendingLoad(
    val worker: Worker,
    val remainingMs: Long,
)

/** Finds the fastest way to form a replica of [model]. */
class FormationOptions(
    private val model: Model,
    private val inventory: WeightInventory,
    private val formationTime: FormationTime,
) {
    /**
     * The fastest way from the [usable] free workers of a domain, of which [pending] and further workers load the
     * model; null when there are too few workers.
     */
    fun inDomain(
        usable: List<Worker>,
        pending: List<PendingLoad>,
    ): FormationOption? {
        val loading = pending.mapTo(HashSet()) { it.worker.incarnation }
        val ranked = usable.sortedWith(compareBy({ inventory.locality(it, model) }, { it.id }))
        val (warm, cold) = ranked.partition { inventory.locality(it, model).isWarm }
        return listOfNotNull(
            atOnce(warm),
            afterLoads(warm, pending),
            withCold(warm, cold.filter { it.incarnation !in loading }),
        ).minByOrNull { it.serviceMs }
    }

    private fun atOnce(warm: List<Worker>): FormationOption? {
        if (warm.size < model.size) return null
        val members = warm.take(model.size)
        return FormationOption.AtOnce(Placement(model, members), formationTime.ofMembers(model, localities(members)))
    }

    private fun afterLoads(
        warm: List<Worker>,
        pending: List<PendingLoad>,
    ): FormationOption? {
        val remainingMs = pending.map { it.remainingMs }.sorted()
        return (1..minOf(pending.size, model.size))
            .filter { model.size - it <= warm.size }
            .map { loading -> afterLoads(warm.take(model.size - loading), remainingMs[loading - 1]) }
            .minByOrNull { it.serviceMs }
    }

    private fun afterLoads(
        warm: List<Worker>,
        longestLoadMs: Long,
    ): FormationOption =
        FormationOption.AfterLoads(
            Placement(model, warm),
            formationTime.afterLoads(model, localities(warm), longestLoadMs),
        )

    private fun withCold(
        warm: List<Worker>,
        cold: List<Worker>,
    ): FormationOption? {
        val missing = model.size - warm.size
        if (missing <= 0 || missing > cold.size) return null
        val members = warm + cold.take(missing)
        return FormationOption.WithColdMembers(
            Placement(model, members),
            formationTime.ofMembers(model, localities(members)),
            cold.take(missing),
        )
    }

    private fun localities(members: List<Worker>) = members.map { inventory.locality(it, model) }
}
