/*
 * A plan in the making: the steps so far and what they leave free.
 */
package auburnhall.replica

import auburnhall.core.FabricDomainId
import auburnhall.core.InstanceId
import auburnhall.core.Replica
import auburnhall.core.ReplicaState

/** Steps added so far to [state], and what follows from them. */
internal class PlacementDraft(
    val state: PlacementState,
) {
    private val spares = state.needs.sumOf { it.spec.spareInstances }
    private val free = state.free.toSortedSet()
    private val formed = HashMap<String, Int>()

    /** The steps so far, in the order in which they are to be taken. */
    val steps = ArrayList<PlacementStep>()

    /** Whether the weight store can feed one more replica. */
    val mayForm: Boolean
        get() = state.table.replicas.count { it.state == ReplicaState.FORMING } + formed.values.sum() < state.maxForming

    /** Replicas of [need]'s model in the table that are not draining. */
    fun active(need: ModelNeed): List<Replica> =
        state.table.replicas.filter { it.model == need.spec.name && it.state != ReplicaState.DRAINING }

    /** Free instances of each named domain. */
    val freeByDomain: Map<FabricDomainId, List<InstanceId>>
        get() {
            val byDomain = HashMap<FabricDomainId, MutableList<InstanceId>>()
            free.forEach { i -> state.domains[i]?.let { byDomain.getOrPut(it) { ArrayList() }.add(i) } }
            return byDomain
        }

    /** The models that want more replicas here, the least fulfilled first. */
    fun shortages(): List<ModelNeed> = state.needs.filter { isShort(it) }.sortedBy { fulfilment(it) }

    /** Share of what is wanted that is there; a model without a number counts against an equal part of the engines. */
    fun fulfilment(need: ModelNeed): Double {
        val part = state.domains.size.toDouble() / (need.spec.instancesPerReplica * state.needs.size)
        val wanted = if (need.spec.replicas == 0) part else need.share.toDouble()
        return count(need) / maxOf(wanted, 1.0)
    }

    /** Whether a replica formed now would replace one that failed. */
    fun mayUseSpares(need: ModelNeed): Boolean = need.losses > (formed[need.spec.name] ?: 0)

    /** Members out of the domain that is left with the fewest; null when none has room or the spares forbid it. */
    fun inOneDomain(
        need: ModelNeed,
        mayUseSpares: Boolean,
    ): List<InstanceId>? {
        val size = need.spec.instancesPerReplica
        val fitting = freeByDomain.values.filter { it.size >= size }
        val best = fitting.minWithOrNull(compareBy({ it.size }, { it.first() }))
        return best?.take(size)?.takeIf { leavesSpares(size, mayUseSpares) }
    }

    /** Members out of as few domains as will do, also those without a name; null unless the model allows it. */
    fun acrossDomains(
        need: ModelNeed,
        mayUseSpares: Boolean,
    ): List<InstanceId>? {
        val size = need.spec.instancesPerReplica
        val groups = free.groupBy { state.domains[it] }.values.sortedByDescending { it.size }
        val members = groups.flatten().take(size)
        return members.takeIf { need.spec.crossDomain && it.size == size && leavesSpares(size, mayUseSpares) }
    }

    /** Adds a replica of [members]. */
    fun form(
        need: ModelNeed,
        members: List<InstanceId>,
    ) {
        steps += PlacementStep.Form(need.spec.name, need.spec.version, members)
        free.removeAll(members.toSet())
        formed.merge(need.spec.name, 1, Int::plus)
    }

    private fun count(need: ModelNeed) = active(need).size + (formed[need.spec.name] ?: 0)

    private fun isShort(need: ModelNeed): Boolean {
        val total = need.total + (formed[need.spec.name] ?: 0)
        return count(need) < need.share && (need.spec.replicas == 0 || total < need.spec.replicas)
    }

    private fun leavesSpares(
        size: Int,
        mayUseSpares: Boolean,
    ) = mayUseSpares || free.size - size >= spares
}
