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
        val uncertainUntil: Long,
    )

    private val clock = environment.clock
    private val progress = HashMap<InstanceId, Progress>()

    /** Instances at which an order may still arrive, or that were not heard of since one did. */
    fun uncertain(health: Map<InstanceId, InstanceHealth>): Set<InstanceId> =
        progress.filter { (i, p) -> p.inFlight || (health[i]?.aliveAt ?: Long.MIN_VALUE) <= p.uncertainUntil }.keys

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
        val now = clock.monotonicMillis()
        val unanswered = delivery is Delivery.Sent && delivery.result is OrderResult.Error
        val until = if (unanswered) now + ReplicaTiming.ORDER_LIFE_MILLIS else now
        progress[order.instance] = Progress(now, inFlight = false, uncertainUntil = until)
        if (delivery is Delivery.Sent) onAnswer(order.order, delivery.result)
    }
}
