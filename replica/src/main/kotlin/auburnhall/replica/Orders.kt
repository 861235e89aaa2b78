/*
 * What a controller asks of workers, and what they answer.
 */
package auburnhall.replica

import auburnhall.core.Membership
import auburnhall.core.Worker

/** A request of the controller to one worker. */
sealed interface Order {
    val worker: Worker

    /** Become a member of a replica; [members] are ids in rank order, the head first. */
    data class Join(
        override val worker: Worker,
        val replica: String,
        val epoch: Long,
        val model: String,
        val members: List<String>,
    ) : Order

    /** Take requests; for heads whose members are all ready. */
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

    /** Load the weights of [model] onto the host, beside all other work. */
    data class Stage(
        override val worker: Worker,
        val model: String,
    ) : Order

    /** Say how you are. */
    data class Probe(
        override val worker: Worker,
    ) : Order
}

/** What came of an order. */
sealed interface OrderResult {
    /** The order is done, or its state already held. */
    data object Done : OrderResult

    /** The order has begun. */
    data object Accepted : OrderResult

    /** The worker refused it with HTTP [status]. */
    data class Refused(
        val status: Int,
    ) : OrderResult

    /** The answer to a probe; [membership] is null for a worker in no replica. */
    data class Report(
        val membership: Membership?,
        /** How much slower than usual it works; 1 is usual. */
        val slowdownFactor: Double,
    ) : OrderResult

    /** No answer: the order may have been carried out, or may be later. */
    data class NoAnswer(
        val cause: String,
    ) : OrderResult
}
