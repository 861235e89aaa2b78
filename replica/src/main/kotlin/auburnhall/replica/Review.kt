/*
 * What has to happen to the replicas that exist, judged by what their members say of themselves.
 */
package auburnhall.replica

import auburnhall.core.Replica
import auburnhall.core.ReplicaState
import auburnhall.engine.EngineState

/** The steps that the members' own words call for. */
internal fun review(state: ReviewState): List<PlacementStep> =
    state.table.replicas.mapNotNull { review(it, state) } + endedQuarantines(state)

private fun review(
    replica: Replica,
    state: ReviewState,
): PlacementStep? {
    val broken = brokenBy(replica, state)
    if (broken != null) return PlacementStep.Dissolve(replica.id, broken)
    return when (replica.state) {
        ReplicaState.FORMING -> reviewForming(replica, state)
        ReplicaState.SERVING -> reviewServing(replica, state)
        ReplicaState.DRAINING -> reviewDraining(replica, state)
    }
}

/** Why [replica] can no longer serve; null while it can or may be able to again. */
private fun brokenBy(
    replica: Replica,
    state: ReviewState,
): StepReason? {
    val members = replica.members.map { state.health(it) }
    return when {
        members.any { it.isLost(state.nowMillis) } -> StepReason.MEMBER_LOST
        members.any { hasChanged(it, replica) } -> StepReason.MEMBER_CHANGED
        members.any { isApart(it, state.nowMillis) } -> StepReason.MEMBERS_APART
        else -> null
    }
}

/** A forming replica's member may not have heard of it yet; one of a serving replica has confirmed it before. */
private fun hasChanged(
    health: InstanceHealth,
    replica: Replica,
): Boolean {
    val status = health.status ?: return false
    val failed = health.names(replica) && status.state == EngineState.FAILED
    val overtaken = status.generation > replica.generation || health.lostGeneration >= replica.generation
    val confirmed = replica.state != ReplicaState.FORMING
    return failed || overtaken || (confirmed && !(health.names(replica) && status.state == EngineState.READY))
}

private fun isApart(
    health: InstanceHealth,
    nowMillis: Long,
): Boolean = health.missingSince?.let { nowMillis - it > ReplicaTiming.LOST_MILLIS } ?: false

private fun reviewForming(
    replica: Replica,
    state: ReviewState,
): PlacementStep? {
    val members = replica.members.map { state.health(it) }
    val ready = members.all { it.isReadyFor(replica) && it.isPresent(state.nowMillis) }
    return when {
        replica.members.any { it in state.leaving } -> dissolve(replica, StepReason.MEMBER_LEAVING)
        ready -> PlacementStep.Serve(replica.id)
        state.ageMillis(replica) > ReplicaTiming.FORM_TIMEOUT_MILLIS -> dissolve(replica, StepReason.FORM_TIMEOUT)
        else -> null
    }
}

private fun reviewServing(
    replica: Replica,
    state: ReviewState,
): PlacementStep? =
    when {
        replica.members.any { it in state.leaving } -> PlacementStep.Drain(replica.id, StepReason.MEMBER_LEAVING)
        replica.members.any { it in state.stragglers } -> PlacementStep.Drain(replica.id, StepReason.STRAGGLER)
        else -> null
    }

/** Waits until no entry process routes to [replica] and then for an answer, asked for later, that names no work. */
private fun reviewDraining(
    replica: Replica,
    state: ReviewState,
): PlacementStep? {
    val settledAt = (state.since[replica.id] ?: state.nowMillis) + ReplicaTiming.DRAIN_SETTLE_MILLIS
    val leader = state.health(replica.leader)
    val askedSince = (leader.aliveAt ?: Long.MIN_VALUE) > settledAt
    val idle = leader.status?.let { it.running == 0 && it.queued == 0 } ?: false
    return if (askedSince && idle) dissolve(replica, StepReason.DRAINED) else null
}

private fun dissolve(
    replica: Replica,
    reason: StepReason,
) = PlacementStep.Dissolve(replica.id, reason)
