/*
 * The changes that a controller makes to an assignment table, and how each changes it.
 */
package auburnhall.replica

import auburnhall.core.AssignmentTable
import auburnhall.core.InstanceId
import auburnhall.core.QuarantinedInstance
import auburnhall.core.Replica
import auburnhall.core.ReplicaId
import auburnhall.core.ReplicaState

/** Why a replica is drained or dissolved. */
enum class StepReason {
    /** A member has given no sign of life for [ReplicaTiming.LOST_MILLIS]. */
    MEMBER_LOST,

    /** A member says that it is not a working part of the replica, or has restarted. */
    MEMBER_CHANGED,

    /** Members say that they cannot reach each other. */
    MEMBERS_APART,

    /** The replica did not load within [ReplicaTiming.FORM_TIMEOUT_MILLIS]. */
    FORM_TIMEOUT,

    /** A member is to leave. */
    MEMBER_LEAVING,

    /** A member is much slower than its peers. */
    STRAGGLER,

    /** The model is no longer listed. */
    MODEL_REMOVED,

    /** The model is listed in another version. */
    VERSION_CHANGED,

    /** More replicas than wanted. */
    SURPLUS,

    /** The instances are needed for another model, or for a whole replica in one domain. */
    REPLACED,

    /** No work was left of a draining replica. */
    DRAINED,
}

/** One change of a table. */
sealed interface PlacementStep {
    /** Orders [members], all of them free, to load a model together. */
    data class Form(
        val model: String,
        val modelVersion: String,
        val members: List<InstanceId>,
    ) : PlacementStep

    /** Lets requests be routed to a forming replica. */
    data class Serve(
        val replica: ReplicaId,
    ) : PlacementStep

    /** Stops new requests to a serving replica. */
    data class Drain(
        val replica: ReplicaId,
        val reason: StepReason,
    ) : PlacementStep

    /** Removes a replica. Its members are ordered to become idle. */
    data class Dissolve(
        val replica: ReplicaId,
        val reason: StepReason,
    ) : PlacementStep

    /** Lets [instance] be used again. */
    data class EndQuarantine(
        val instance: InstanceId,
    ) : PlacementStep
}

/**
 * What the steps need to know of instances.
 *
 * @property unsafe instances that ignore fencing or cannot be asked; they are quarantined when their replica goes.
 * @property generations the highest generation that each instance reports.
 */
internal data class StepContext(
    val unsafe: Set<InstanceId>,
    val generations: Map<InstanceId, Long>,
)

/** The table after [steps]. */
internal fun AssignmentTable.after(
    steps: List<PlacementStep>,
    context: StepContext,
): AssignmentTable = steps.fold(this) { table, step -> table.after(step, context) }

private fun AssignmentTable.after(
    step: PlacementStep,
    context: StepContext,
): AssignmentTable =
    when (step) {
        is PlacementStep.Form -> withFormed(step, context)
        is PlacementStep.Serve -> withState(step.replica, ReplicaState.SERVING)
        is PlacementStep.Drain -> withState(step.replica, ReplicaState.DRAINING)
        is PlacementStep.Dissolve -> without(step.replica, context)
        is PlacementStep.EndQuarantine -> copy(quarantined = quarantined.filterNot { it.instance == step.instance })
    }

/** A generation above every one given so far and every one that a member has seen. */
private fun AssignmentTable.withFormed(
    step: PlacementStep.Form,
    context: StepContext,
): AssignmentTable {
    val seen = step.members.maxOf { context.generations[it] ?: 0 }
    val generation = maxOf(lastGeneration, seen) + 1
    val id = ReplicaId("${dataCentre.value}-${step.model}-$generation")
    val replica = Replica(id, step.model, step.modelVersion, step.members, generation, ReplicaState.FORMING)
    return copy(lastGeneration = generation, replicas = replicas + replica)
}

private fun AssignmentTable.withState(
    id: ReplicaId,
    state: ReplicaState,
): AssignmentTable = copy(replicas = replicas.map { if (it.id == id) it.copy(state = state) else it })

/** Raises the generation, so that the order to become idle overtakes every order to form. */
private fun AssignmentTable.without(
    id: ReplicaId,
    context: StepContext,
): AssignmentTable {
    val gone = replicas.find { it.id == id } ?: return this
    val unsafe = gone.members.filter { it in context.unsafe }.map { QuarantinedInstance(it, gone.generation) }
    return copy(
        lastGeneration = lastGeneration + 1,
        replicas = replicas - gone,
        quarantined = quarantined.filterNot { it.instance in gone.members } + unsafe,
    )
}
