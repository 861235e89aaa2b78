/*
 * Chooses what is staged on the hosts of workers, in service or spare, so that each can join a replica of another model
 * without a load from the weight store. Designed for fleets that lose members every few seconds and whose lost members
 * are replaced elsewhere: the models of a domain's workers have to change within two seconds.
 */
package auburnhall.replica

import auburnhall.core.EngineProfile
import auburnhall.core.MemberState
import auburnhall.core.Worker

/** Plans staging for [engine]. */
class StagingPlanner(
    private val engine: EngineProfile,
    private val needs: SpareNeeds,
    private val inventory: WeightInventory,
) {
    private val largestFirst = engine.models.sortedByDescending { it.size }

    /** The models to stage on the hosts of [workers]: first those that replicas wait for, then those of [spares]. */
    fun wanted(
        workers: List<Worker>,
        spares: Set<WorkerIncarnation>,
    ): List<Placement> {
        if (engine.models.size < 2) return emptyList()
        val settled = workers.filter { inventory.loaded(it) != null && it.membership?.state != MemberState.JOINING }
        val byDomain = settled.groupBy { it.fabricDomain.orEmpty() }
        val staging = byDomain.flatMap { (domain, members) -> (members - keepers(domain, members)).flatMap(::missing) }
        val urgentFirst =
            compareBy<Worker>({ it.incarnation !in needs.loadsWanted }, { it.incarnation !in spares }, { it.id })
        return staging.sortedWith(compareBy(urgentFirst) { it.members.first() })
    }

    /** The other models that are not on the host of [worker], as many as it keeps. */
    private fun missing(worker: Worker): List<Placement> {
        val loaded = inventory.loaded(worker)
        val others = largestFirst.filter { it.name != loaded }.take(engine.retainedModels)
        return others.filter { it.name !in worker.stagedModels }.map { Placement(it, listOf(worker)) }
    }

    /**
     * Those of [members], the workers of [domain], whose hosts keep the model that they have loaded: after a restart of
     * the domain, only the hosts' copies are left, and they must suffice for the planned replicas of each model.
     */
    private fun keepers(
        domain: String,
        members: List<Worker>,
    ): Set<Worker> {
        if (engine.retainedModels >= engine.models.size) return emptySet()
        return engine.models.flatMapTo(HashSet()) { model ->
            val (own, others) = members.partition { inventory.loaded(it) == model.name }
            val missing = (needs.plan[domain]?.get(model.name) ?: 0) * model.size - others.size
            own
                .filter {
                    model.name in it.stagedModels && it.incarnation !in needs.loadsWanted
                }.sortedBy { it.id }
                .take(missing.coerceAtLeast(0))
        }
    }
}
