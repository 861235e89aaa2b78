/*
 * Teardown of a replica with a lost, slow, draining or missing member. The head leaves first and so stops taking
 * requests, so that no worker is ever a member of two replicas that take requests.
 */
package auburnhall.replica

import auburnhall.core.MemberState
import auburnhall.core.Worker

/** The teardown of one replica. */
class ReplicaTeardown(
    val head: Worker,
    private val key: ReplicaEpoch,
) {
    private var lastSentAtMs = Long.MIN_VALUE

    /** Whether the head has confirmed that it takes no more requests for this replica. */
    var headHasLeft = false
        private set

    /** Returns the next order to the head; null until a retry is due, and once the head has left. */
    fun nextOrder(now: Long): Order? {
        val waits = lastSentAtMs != Long.MIN_VALUE && now - lastSentAtMs < LEAVE_RETRY_MS
        if (headHasLeft || waits) return null
        lastSentAtMs = now
        return Order.Leave(head, key.replica, key.epoch)
    }

    /** The order to leave ended with [result]; any answer, also a refusal, means that the head has left. */
    fun onResult(result: OrderResult) {
        if (result !is OrderResult.NoAnswer) headHasLeft = true
    }

    /** Whether [workers] show that the head no longer belongs to this replica. */
    fun isFinished(workers: List<Worker>): Boolean {
        val current = workers.firstOrNull { it.incarnation == head.incarnation }?.membership
        return current?.key != key || current.state == MemberState.BROKEN
    }

    private companion object {
        const val LEAVE_RETRY_MS = 500L
    }
}
