/*
 * How many replicas of each model failures have taken and nothing has replaced yet. Only these may be formed out of the
 * spare instances.
 */
package auburnhall.replica

import auburnhall.core.AssignmentTable
import auburnhall.core.ReplicaId

/** Counts losses from the steps taken and the tables that follow; used on the control thread. */
internal class ReplicaLosses {
    private val reasons = HashMap<ReplicaId, StepReason>()
    private val counts = HashMap<String, Int>()

    /** Losses by model. */
    val byModel: Map<String, Int> get() = counts

    /** Remembers why replicas go. */
    fun onSteps(steps: List<PlacementStep>) =
        steps.forEach { s ->
            when (s) {
                is PlacementStep.Drain -> reasons[s.replica] = s.reason
                is PlacementStep.Dissolve -> if (s.reason != StepReason.DRAINED) reasons[s.replica] = s.reason
                else -> Unit
            }
        }

    /** Counts what has changed from [before] to [after]. */
    fun onTable(
        before: AssignmentTable,
        after: AssignmentTable,
    ) {
        val old = before.replicas.map { it.id }.toSet()
        val new = after.replicas.map { it.id }.toSet()
        before.replicas.filter { it.id !in new }.forEach { r ->
            if (reasons.remove(r.id) !in PLANNED) counts.merge(r.model, 1, Int::plus)
        }
        after.replicas.filter { it.id !in old }.forEach { r ->
            counts.computeIfPresent(r.model) { _, n -> (n - 1).takeIf { it > 0 } }
        }
    }

    /** Forgets everything. */
    fun clear() {
        reasons.clear()
        counts.clear()
    }

    private companion object {
        val PLANNED =
            setOf(StepReason.MODEL_REMOVED, StepReason.VERSION_CHANGED, StepReason.SURPLUS, StepReason.REPLACED)
    }
}
