/*
 * Breaking idle replicas where that helps: for a model that is shorter of replicas, or to bring a replica that spans
 * domains into one. A replica with work is never touched.
 */
package auburnhall.replica

import auburnhall.core.FabricDomainId
import auburnhall.core.InstanceId
import auburnhall.core.Replica
import auburnhall.core.ReplicaState

/** Drains at most one idle replica, and none while another is on its way out or in. */
internal fun regroup(draft: PlacementDraft) {
    val busy =
        draft.state.table.replicas
            .any { it.state != ReplicaState.SERVING }
    if (busy || draft.steps.isNotEmpty()) return
    val next = lendable(draft) ?: movable(draft) ?: return
    draft.steps += PlacementStep.Drain(next.id, StepReason.REPLACED)
}

private fun idleReplicas(draft: PlacementDraft): List<Replica> =
    draft.state.table.replicas
        .filter { it.id in draft.state.idle }

/** An idle replica whose instances, with the free ones of its domain, make one of a model that is clearly shorter. */
private fun lendable(draft: PlacementDraft): Replica? {
    val short = draft.shortages().firstOrNull() ?: return null
    val free = draft.freeByDomain
    val others = draft.state.needs.filter { it.spec.name != short.spec.name && isBetterOff(draft, it, short) }
    return idleReplicas(draft)
        .filter { r -> others.any { it.spec.name == r.model } }
        .find { r -> hasRoom(draft, r, free, short.spec.instancesPerReplica) }
}

/** Whether [other] is at least as well served as [short] even with one replica less. */
private fun isBetterOff(
    draft: PlacementDraft,
    other: ModelNeed,
    short: ModelNeed,
): Boolean {
    val has = draft.active(other).size
    val without = draft.fulfilment(other) * (has - 1) / maxOf(has, 1)
    val gained = draft.fulfilment(short) * (draft.active(short).size + 1) / maxOf(draft.active(short).size, 1)
    return has > 1 && without >= gained
}

/** An idle replica across domains that would fit into one of its domains. */
private fun movable(draft: PlacementDraft): Replica? {
    val free = draft.freeByDomain
    return idleReplicas(draft)
        .filter { r ->
            r.members
                .map { draft.state.domains[it] }
                .distinct()
                .size > 1
        }.find { r -> hasRoom(draft, r, free, r.members.size) }
}

private fun hasRoom(
    draft: PlacementDraft,
    replica: Replica,
    free: Map<FabricDomainId, List<InstanceId>>,
    size: Int,
): Boolean {
    val own =
        replica.members
            .mapNotNull { draft.state.domains[it] }
            .groupingBy { it }
            .eachCount()
    return (own.keys + free.keys).any { d -> (own[d] ?: 0) + (free[d]?.size ?: 0) >= size }
}
