/*
 * Which replicas to form, drain or break so that the data centre comes closer to what the operators' list wants.
 */
package auburnhall.replica

import auburnhall.core.AssignmentTable
import auburnhall.core.FabricDomainId
import auburnhall.core.InstanceId
import auburnhall.core.ModelSpec
import auburnhall.core.Replica
import auburnhall.core.ReplicaId
import auburnhall.core.ReplicaState

/**
 * What one model is to have in this data centre.
 *
 * @property share replicas wanted here; [Int.MAX_VALUE] for as many as fit.
 * @property total replicas of all data centres, whatever their state.
 * @property losses replicas lost to failures here and not yet replaced; these may be formed out of the spares.
 */
data class ModelNeed(
    val spec: ModelSpec,
    val share: Int,
    val total: Int,
    val losses: Int = 0,
)

/**
 * Everything that [plan] decides by.
 *
 * @property free instances that may be ordered into a replica now, each healthy, idle and in no replica.
 * @property domains the fabric domain of every engine of the data centre.
 * @property idle serving replicas without work.
 * @property maxForming how many replicas may load at once, by the weight store's rate.
 */
data class PlacementState(
    val table: AssignmentTable,
    val free: Set<InstanceId>,
    val domains: Map<InstanceId, FabricDomainId?>,
    val needs: List<ModelNeed>,
    val idle: Set<ReplicaId> = emptySet(),
    val maxForming: Int = DEFAULT_MAX_FORMING,
) {
    companion object {
        /** Replicas that load at once in a data centre unless settings say otherwise. */
        const val DEFAULT_MAX_FORMING = 4
    }
}

/** The steps to take now. The same state gives the same steps. */
fun plan(state: PlacementState): List<PlacementStep> = Planner(state).plan()

private class Planner(
    private val state: PlacementState,
) {
    private val steps = ArrayList<PlacementStep>()
    private val free = state.free.toSortedSet()
    private val replicas = state.table.replicas
    private val formed = HashMap<String, Int>()
    private var forming = replicas.count { it.state == ReplicaState.FORMING }
    private val spares = state.needs.sumOf { it.spec.spareInstances }

    fun plan(): List<PlacementStep> {
        retireRemoved()
        state.needs.forEach { shrink(it) }
        state.needs.forEach { changeVersion(it) }
        while (forming < state.maxForming) {
            if (!formOne()) break
        }
        return steps
    }

    private fun retireRemoved() {
        val names = state.needs.map { it.spec.name }.toSet()
        replicas.filter { it.model !in names }.forEach { retire(it, StepReason.MODEL_REMOVED) }
    }

    private fun retire(
        replica: Replica,
        reason: StepReason,
    ) {
        when (replica.state) {
            ReplicaState.FORMING -> steps += PlacementStep.Dissolve(replica.id, reason)
            ReplicaState.SERVING -> steps += PlacementStep.Drain(replica.id, reason)
            ReplicaState.DRAINING -> Unit
        }
    }

    private fun shrink(need: ModelNeed) {
        if (need.spec.replicas == 0) return
        val own = active(need)
        val surplus = minOf(own.size - need.share, need.total - need.spec.replicas)
        val order = compareBy<Replica>({ it.state }, { it.id !in state.idle }, { it.generation })
        own.sortedWith(order).take(maxOf(surplus, 0)).forEach { retire(it, StepReason.SURPLUS) }
    }

    /** One replica at a time, and only while another one of the model serves or none is left to lose. */
    private fun changeVersion(need: ModelNeed) {
        val all = replicas.filter { it.model == need.spec.name }
        val old = active(need).filter { it.modelVersion != need.spec.version }
        old.filter { it.state == ReplicaState.FORMING }.forEach { retire(it, StepReason.VERSION_CHANGED) }
        val changing = all.any { it.state != ReplicaState.SERVING }
        val serving = old.filter { it.state == ReplicaState.SERVING }
        if (changing || serving.isEmpty()) return
        val next = serving.minWith(compareBy({ it.id !in state.idle }, { it.generation }))
        if (all.size > 1 || members(need, mayUseSpares = true) == null) {
            steps += PlacementStep.Drain(next.id, StepReason.VERSION_CHANGED)
        } else {
            form(need, mayUseSpares = true)
        }
    }

    private fun formOne(): Boolean {
        val short = state.needs.filter { isShort(it) }.sortedBy { fulfilment(it) }
        return short.any { form(it, mayUseSpares = it.losses > (formed[it.spec.name] ?: 0)) }
    }

    private fun isShort(need: ModelNeed): Boolean {
        val more = formed[need.spec.name] ?: 0
        val wanted = need.spec.replicas
        return active(need).size + more < need.share && (wanted == 0 || need.total + more < wanted)
    }

    /** Share of what is wanted that is there; models without a number count against an equal part of the fleet. */
    private fun fulfilment(need: ModelNeed): Double {
        val fits = state.domains.size.toDouble() / (need.spec.instancesPerReplica * state.needs.size)
        val wanted = if (need.spec.replicas == 0) maxOf(fits, 1.0) else need.share.toDouble()
        return (active(need).size + (formed[need.spec.name] ?: 0)) / wanted
    }

    private fun form(
        need: ModelNeed,
        mayUseSpares: Boolean,
    ): Boolean {
        val members = members(need, mayUseSpares) ?: return false
        steps += PlacementStep.Form(need.spec.name, need.spec.version, members)
        free.removeAll(members.toSet())
        formed.merge(need.spec.name, 1, Int::plus)
        forming += 1
        return true
    }

    /** Members for one more replica: the domain that is left with the fewest; null when none has room. */
    private fun members(
        need: ModelNeed,
        mayUseSpares: Boolean,
    ): List<InstanceId>? {
        val size = need.spec.instancesPerReplica
        val left = free.size - size
        if (left < 0 || (!mayUseSpares && left < spares)) return null
        val byDomain = free.groupBy { state.domains[it] }.filterKeys { it != null }
        val fitting = byDomain.values.filter { it.size >= size }
        return fitting.minWithOrNull(compareBy({ it.size }, { it.first() }))?.take(size)
    }

    private fun active(need: ModelNeed) =
        replicas.filter { it.model == need.spec.name && it.state != ReplicaState.DRAINING }
}
