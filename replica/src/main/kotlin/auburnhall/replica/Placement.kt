/*
 * Which replicas to form, drain or break so that the data centre comes closer to what the operators' list wants.
 */
package auburnhall.replica

import auburnhall.core.AssignmentTable
import auburnhall.core.FabricDomainId
import auburnhall.core.InstanceId
import auburnhall.core.ModelSpec
import auburnhall.core.ReplicaId

/**
 * What one model is to have in this data centre.
 *
 * @property share replicas wanted here; [Int.MAX_VALUE] for as many as fit.
 * @property total replicas of all data centres that are not draining.
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
 * @property domains the fabric domain of every engine of the data centre; null when the platform names none.
 * @property idle serving replicas that have had no work for a while.
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
fun plan(state: PlacementState): List<PlacementStep> {
    val draft = PlacementDraft(state)
    retire(draft)
    changeVersions(draft)
    formMissing(draft)
    regroup(draft)
    return draft.steps
}

/** Takes the place of what is missing, the model with the largest shortage first, while more may load at once. */
private fun formMissing(draft: PlacementDraft) {
    while (draft.mayForm) {
        val short = draft.shortages()
        if (short.none { formOne(draft, it) }) return
    }
}

/** A whole domain's room goes first, then room in several domains for models that allow it. */
private fun formOne(
    draft: PlacementDraft,
    need: ModelNeed,
): Boolean {
    val spares = draft.mayUseSpares(need)
    val members = draft.inOneDomain(need, spares) ?: draft.acrossDomains(need, spares) ?: return false
    draft.form(need, members)
    return true
}
