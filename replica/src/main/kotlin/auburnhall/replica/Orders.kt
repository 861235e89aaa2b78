/*
 * Orders from a controller to workers, and their results.
 */
package auburnhall.replica

import auburnhall.core.Membership
import auburnhall.core.Worker

/** An order or a probe from the controller to one worker. */
sealed interface Order {
    val worker: Worker

    /** Become a member of a replica; [members] are worker ids in rank order, the head first. */
    data class Join(
        override val worker: Worker,
        val replica: String,
        val epoch: Long,
        val model: String,
        val members: List<String>,
    ) : Order

    /** Start to take requests; sent to a head once all members are ready. */
    data class Open(
        override val worker: Worker,
        val replica: String,
        val epoch: Long,
    ) : Order

    /** Leave the replica at once. */
    data class Leave(
        override val worker: Worker,
        val replica: String,
        val epoch: Long,
    ) : Order

    /** End the requests that were accepted, take no more and be ready again; sent to a head. */
    data class Close(
        override val worker: Worker,
        val replica: String,
        val epoch: Long,
    ) : Order

    /** Load the weights of [model] onto the host while other work goes on. */
    data class Stage(
        override val worker: Worker,
        val model: String,
    ) : Order

    /** Report the current membership and speed; changes nothing. */
    data class Probe(
        override val worker: Worker,
    ) : Order
}

/** The result of an order or a probe. */
sealed interface OrderResult {
    /** The order was carried out, or the worker was already in the ordered state. */
    data object Done : OrderResult

    /** The worker accepted the order and is carrying it out. */
    data object Accepted : OrderResult

    /** The worker refused the order with HTTP [status]. */
    data class Refused(
        val status: Int,
    ) : OrderResult

    /** The answer to a probe; [membership] is null for a worker in no replica. */
    data class Report(
        val membership: Membership?,
        /** Processing time relative to nominal: 1 is nominal, larger is slower. */
        val slowdownFactor: Double,
    ) : OrderResult

    /** No answer was received or understood; the worker may have carried out the order or may still do so. */
    data class NoAnswer(
        val cause: String,
    ) : OrderResult
}
