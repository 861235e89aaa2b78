/*
 * The orders that engines need so that they do what the table says, and their delivery.
 */
package auburnhall.replica

import auburnhall.core.AssignmentTable
import auburnhall.core.Clock
import auburnhall.core.ControlLoop
import auburnhall.core.InstanceId
import auburnhall.core.Replica
import auburnhall.core.ReplicaState
import auburnhall.engine.EngineClient
import auburnhall.engine.EngineOrder
import auburnhall.engine.MemberAddress
import auburnhall.engine.OrderResult

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

/** What came of trying to deliver an order. */
internal sealed interface Delivery {
    /** The time in which it was allowed had passed before it was sent. */
    data object TooLate : Delivery

    /** It was sent. */
    data class Sent(
        val result: OrderResult,
    ) : Delivery
}

/** Delivers orders, one at a time to each instance; used on the control thread. */
internal class OrderSender(
    private val engines: EngineClient,
    private val loop: ControlLoop,
    private val clock: Clock,
    private val onDelivery: (AddressedOrder, Delivery) -> Unit,
) {
    private class Progress(
        val sentAt: Long,
        val inFlight: Boolean,
        val uncertainUntil: Long,
    )

    private val progress = HashMap<InstanceId, Progress>()

    /** Instances at which an order may still arrive. */
    fun uncertain(): Set<InstanceId> {
        val now = clock.monotonicMillis()
        return progress.filterValues { it.inFlight || it.uncertainUntil > now }.keys.toSet()
    }

    /** Those of [orders] that are not under way and were not given a moment ago. */
    fun due(orders: List<AddressedOrder>): List<AddressedOrder> {
        val now = clock.monotonicMillis()
        return orders.filter { o ->
            val p = progress[o.instance]
            p == null || (!p.inFlight && now - p.sentAt >= ReplicaTiming.ORDER_RETRY_MILLIS)
        }
    }

    /** Sends [order], unless [allowedUntil] passes before. */
    fun send(
        order: AddressedOrder,
        allowedUntil: Long,
    ) {
        progress[order.instance] = Progress(clock.monotonicMillis(), inFlight = true, uncertainUntil = 0)
        loop.call(
            io = {
                if (clock.monotonicMillis() >= allowedUntil) {
                    Delivery.TooLate
                } else {
                    Delivery.Sent(engines.order(order.address, order.order))
                }
            },
            onResult = { onResult(order, it) },
        )
    }

    private fun onResult(
        order: AddressedOrder,
        delivery: Delivery,
    ) {
        val now = clock.monotonicMillis()
        val unanswered = delivery is Delivery.Sent && delivery.result is OrderResult.Error
        val until = if (unanswered) now + ReplicaTiming.ORDER_LIFE_MILLIS else 0
        progress[order.instance] = Progress(now, inFlight = false, uncertainUntil = until)
        onDelivery(order, delivery)
    }
}
