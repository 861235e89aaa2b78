/*
 * Takes a replica apart whose member is lost or leaves. The head is closed or leaves first, so that no member is ever
 * in two replicas that take requests.
 */
package auburnhall.replica

import auburnhall.core.MemberState
import auburnhall.core.Worker

/** The end of one replica. */
class ReplicaTeardown(
    val head: Worker,
    private val key: ReplicaEpoch,
) {
    private var triedAt = Long.MIN_VALUE

    /** Whether the head has confirmed that it takes no more requests for this replica. */
    var left = false
        private set

    /** The next order to the head; null while the last one is on its way, or when there is nothing left to do. */
    fun nextOrder(now: Long): Order? {
        val waits = triedAt != Long.MIN_VALUE && now - triedAt < RETRY_MS
        if (left || waits) return null
        triedAt = now
        return Order.Leave(head, key.replica, key.epoch)
    }

    /** What came of the order to leave. */
    fun onResult(result: OrderResult) {
        if (result !is OrderResult.NoAnswer) left = true
    }

    /** Whether [workers] show that the head no longer belongs to this replica. */
    fun isOver(workers: List<Worker>): Boolean {
        val now = workers.firstOrNull { it.incarnation == head.incarnation }?.membership
        return now?.key != key || now.state == MemberState.BROKEN
    }

    private companion object {
        const val RETRY_MS = 500L
    }
}
