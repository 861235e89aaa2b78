/*
 * Delivers orders to engines, one at a time to each, and only within the time in which control is certain.
 */
package auburnhall.replica

import auburnhall.core.InstanceId
import auburnhall.engine.EngineOrder
import auburnhall.engine.OrderResult

/** What came of trying to deliver an order. */
internal sealed interface Delivery {
    /** The time in which it was allowed had passed before it was sent. */
    data object TooLate : Delivery

    /** It was sent. */
    data class Sent(
        val result: OrderResult,
    ) : Delivery
}

/** Sends orders; used on the control thread, where [onAnswer] is called too. */
internal class OrderSender(
    private val environment: ReplicaEnvironment,
    private val onAnswer: (EngineOrder, OrderResult) -> Unit,
) {
    private data class Progress(
        val sentAt: Long,
        val inFlight: Boolean,
    )

    private val clock = environment.clock
    private val progress = HashMap<InstanceId, Progress>()

    /** Instances with an order under way. */
    fun inFlight(): Set<InstanceId> = progress.filterValues { it.inFlight }.keys

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
        progress[order.instance] = Progress(clock.monotonicMillis(), inFlight = true)
        environment.loop.call(
            io = {
                if (clock.monotonicMillis() >= allowedUntil) {
                    Delivery.TooLate
                } else {
                    Delivery.Sent(environment.engines.order(order.address, order.order))
                }
            },
            onResult = { onResult(order, it) },
        )
    }

    private fun onResult(
        order: AddressedOrder,
        delivery: Delivery,
    ) {
        progress[order.instance] = Progress(clock.monotonicMillis(), inFlight = false)
        if (delivery is Delivery.Sent) onAnswer(order.order, delivery.result)
    }
}
