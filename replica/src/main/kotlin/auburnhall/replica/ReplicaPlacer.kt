/*
 * Chooses the members of the next replicas. Members are lost regularly, so a replica is formed from workers that
 * already have its model loaded where possible and then takes requests again within a second.
 */
package auburnhall.replica

import auburnhall.core.Model
import auburnhall.core.Worker

/** Workers chosen to hold a model, as members of a replica in rank order or as a single spare. */
data class Placement(
    val model: Model,
    val members: List<Worker>,
)

/** Inputs for placement that are not in the worker list. */
interface PlacementContext {
    /** The model of the last replica that [worker] was ordered to join since its start; null when not known. */
    fun lastModel(worker: Worker): String?

    /** For how long, in milliseconds, [worker] has been free. */
    fun freeMs(worker: Worker): Long

    /** Share of the slots of the model's replicas that is in use, 0 or more; null when not known. */
    fun slotUtilization(model: String): Double?

    /** Loads of [model] that free workers and spares of [domain] carry out now. */
    fun pendingLoads(
        domain: String,
        model: Model,
    ): List<PendingLoad>

    /** Whether members that have to load the weights may join a replica that is formed. */
    val coldMembersAllowed: Boolean
}

/** Places replicas one at a time until the plan is met or no suitable workers are left. */
class ReplicaPlacer(
    private val models: List<Model>,
    private val counts: PlacementCounts,
    private val free: FreeWorkers,
    private val placementContext: PlacementContext,
    private val formationTime: FormationTime,
) {
    private val inventory = WeightInventory(models, placementContext)

    /** Models that free workers should load first, so that a replica which waits for them can be formed. */
    val loadsWanted = LinkedHashMap<WorkerIncarnation, Model>()

    /**
     * Returns the next replica to form, for the model with the greatest shortage first; null when there is none. A
     * replica that would wait for weights is not formed; its other members stay free, and no other model gets them.
     */
    fun next(): Placement? {
        val shortestFirst = counts.shortestFirst(placementContext::slotUtilization)
        val held = HashSet<WorkerIncarnation>()
        loadsWanted.clear()
        return models.sortedWith(shortestFirst).firstNotNullOfOrNull { place(it, held) }?.also(::commit)
    }

    private fun commit(placement: Placement) {
        free.remove(placement.members)
        counts.add(domainOf(placement), placement.model)
    }

    private fun domainOf(placement: Placement) =
        placement.members
            .first()
            .fabricDomain
            .orEmpty()

    /** Returns the replica of [model] to form now; adds the members of those that have to wait to [held]. */
    private fun place(
        model: Model,
        held: MutableSet<WorkerIncarnation>,
    ): Placement? {
        val missing = counts.plannedOf(model) - counts.totalOf(model)
        if (missing <= 0) return null
        val (planned, others) = free.domains.sorted().partition { counts.isPlanned(model, it) }
        val inPlan = options(model, planned, held)
        val elsewhere =
            if (inPlan.any(
                    ::isFormedNow,
                )
            ) {
                emptyList()
            } else {
                options(model, others.filter { counts.fits(model, it) }, held)
            }
        val fastest = (inPlan + elsewhere).minByOrNull { it.serviceMs }
        val chosen = fastest?.takeIf(::isFormedNow)
        if (chosen == null) (inPlan + elsewhere).take(missing).forEach { hold(it, held) }
        return chosen?.placement
    }

    private fun isFormedNow(option: FormationOption) =
        option is FormationOption.AtOnce ||
            (option is FormationOption.WithColdMembers && placementContext.coldMembersAllowed)

    private fun hold(
        option: FormationOption,
        held: MutableSet<WorkerIncarnation>,
    ) {
        held += option.placement.members.map { it.incarnation }
        if (option !is FormationOption.WithColdMembers) return
        option.cold.forEach { loadsWanted[it.incarnation] = option.placement.model }
    }

    private fun options(
        model: Model,
        domains: List<String>,
        held: Set<WorkerIncarnation>,
    ) = domains.mapNotNull { option(model, it, held) }.sortedBy { it.serviceMs }

    private fun option(
        model: Model,
        domain: String,
        held: Set<WorkerIncarnation>,
    ): FormationOption? {
        val short = isShort(model)
        val usable =
            free.inDomain(domain).filter {
                val fits = inventory.locality(it, model) != WeightLocality.OTHER_MODEL
                it.incarnation !in held && (fits || (short && isReassignable(it, domain)))
            }
        val pending = placementContext.pendingLoads(domain, model)
        return FormationOptions(model, inventory, formationTime).inDomain(usable, pending)
    }

    /** Whether [model] has so few replicas, or so highly utilized ones, that workers with other models may join it. */
    private fun isShort(model: Model): Boolean {
        val others = (models - model).maxOfOrNull { placementContext.slotUtilization(it.name) ?: 0.0 } ?: 0.0
        val overloaded = (placementContext.slotUtilization(model.name) ?: 0.0) > maxOf(others, HIGH_UTILIZATION)
        return overloaded || counts.totalOf(model) < counts.plannedOf(model) * SHORTAGE_RATIO
    }

    /**
     * Whether [worker] may load another model: [domain] already holds as many replicas of the worker's model as it does
     * when it has all its workers, or the worker has been free for so long that the others are not expected back soon.
     */
    private fun isReassignable(
        worker: Worker,
        domain: String,
    ): Boolean {
        val model = inventory.loaded(worker) ?: inventory.staged(worker)?.name
        val filled = model == null || counts.isFull(model, domain)
        return filled || placementContext.freeMs(worker) >= DOMAIN_RETURN_MS
    }

    private companion object {
        /** Share of the planned replicas below which a model has too few. */
        const val SHORTAGE_RATIO = 0.7

        /** After an outage of a domain, all its workers are back within this time of the first one. */
        const val DOMAIN_RETURN_MS = 4_000L

        /** Share of slots in use beyond which a model's replicas are too full to meet their latency. */
        const val HIGH_UTILIZATION = 0.6
    }
}
