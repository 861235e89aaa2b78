/*
 * The orders that engines need so that they do what the table says.
 */
package auburnhall.replica

import auburnhall.core.AssignmentTable
import auburnhall.core.InstanceId
import auburnhall.core.Replica
import auburnhall.core.ReplicaState
import auburnhall.engine.EngineOrder
import auburnhall.engine.MemberAddress

/** An order and where to send it. */
internal data class AddressedOrder(
    val instance: InstanceId,
    val address: String,
    val order: EngineOrder,
)

/** The orders whose effect the engines do not show yet. Instances that were not heard of lately get none. */
internal fun wantedOrders(
    table: AssignmentTable,
    view: EngineView,
): List<AddressedOrder> {
    val assigned = table.replicas.flatMap { it.members }.toSet()
    val forms = table.replicas.filter { it.state == ReplicaState.FORMING }.flatMap { formOrders(it, view) }
    val others = view.addresses.keys.filter { it !in assigned && isPresent(it, view) }
    return forms + others.mapNotNull { releaseOrder(it, table, view) }
}

private fun isPresent(
    instance: InstanceId,
    view: EngineView,
): Boolean = view.health[instance]?.isPresent(view.nowMillis) ?: false

private fun formOrders(
    replica: Replica,
    view: EngineView,
): List<AddressedOrder> {
    val members = replica.members.map { MemberAddress(it, view.addresses[it] ?: return emptyList()) }
    val order =
        EngineOrder.Form(replica.generation, replica.id, replica.model, replica.modelVersion, members)
    return members
        .filter { isPresent(it.instance, view) && view.health[it.instance]?.names(replica) == false }
        .map { AddressedOrder(it.instance, it.address, order) }
}

private fun releaseOrder(
    instance: InstanceId,
    table: AssignmentTable,
    view: EngineView,
): AddressedOrder? {
    val health = view.health[instance]
    val status = health?.status
    if (status == null || health.isIdle) return null
    val generation = maxOf(table.lastGeneration, status.generation + 1)
    return AddressedOrder(instance, view.addresses.getValue(instance), EngineOrder.Release(generation))
}
