/*
 * Replicas that the operators' list no longer wants: of removed models, too many, or of another version.
 */
package auburnhall.replica

import auburnhall.core.Replica
import auburnhall.core.ReplicaState

/** Retires replicas of models that are not listed and those above the wanted number, idle ones first. */
internal fun retire(draft: PlacementDraft) {
    val names =
        draft.state.needs
            .map { it.spec.name }
            .toSet()
    draft.state.table.replicas
        .filter { it.model !in names }
        .forEach { draft.retire(it, StepReason.MODEL_REMOVED) }
    draft.state.needs.forEach { shrink(draft, it) }
}

private fun shrink(
    draft: PlacementDraft,
    need: ModelNeed,
) {
    if (need.spec.replicas == 0) return
    val own = draft.active(need)
    val surplus = minOf(own.size - need.share, need.total - need.spec.replicas)
    val order = compareBy<Replica>({ it.state }, { it.id !in draft.state.idle }, { it.generation })
    own.sortedWith(order).take(maxOf(surplus, 0)).forEach { draft.retire(it, StepReason.SURPLUS) }
}

private fun PlacementDraft.retire(
    replica: Replica,
    reason: StepReason,
) {
    when (replica.state) {
        ReplicaState.FORMING -> steps += PlacementStep.Dissolve(replica.id, reason)
        ReplicaState.SERVING -> steps += PlacementStep.Drain(replica.id, reason)
        ReplicaState.DRAINING -> Unit
    }
}

/** Moves each model to its listed version, one replica at a time. */
internal fun changeVersions(draft: PlacementDraft) = draft.state.needs.forEach { changeVersion(draft, it) }

/** The next replica goes only while another one serves; the last one waits for its successor if there is room. */
private fun changeVersion(
    draft: PlacementDraft,
    need: ModelNeed,
) {
    val old = draft.active(need).filter { it.modelVersion != need.spec.version }
    old.filter { it.state == ReplicaState.FORMING }.forEach { draft.retire(it, StepReason.VERSION_CHANGED) }
    val serving = old.filter { it.state == ReplicaState.SERVING }
    val all =
        draft.state.table.replicas
            .filter { it.model == need.spec.name }
    if (serving.isEmpty() || all.any { it.state != ReplicaState.SERVING }) return
    val successor = if (all.size == 1) draft.inOneDomain(need, mayUseSpares = true) else null
    if (successor == null) {
        val next = serving.minWith(compareBy({ it.id !in draft.state.idle }, { it.generation }))
        draft.retire(next, StepReason.VERSION_CHANGED)
    } else {
        draft.form(need, successor)
    }
}
