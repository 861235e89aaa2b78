/*
 * Closes replicas whose workers another model needs: the head ends the requests that it has and is ready again, and its
 * members are free for other replicas. Designed for demand that moves between models: no stream is moved.
 */
package auburnhall.replica

import auburnhall.core.MemberState
import auburnhall.core.Replica
import auburnhall.core.Worker
import auburnhall.core.log

/** The replicas that are being closed. Control thread only. */
class ReplicaClosings(
    private val context: ControllerContext,
) {
    private val closings = LinkedHashMap<ReplicaEpoch, Closing>()

    /** Domains with a replica that is being closed. */
    val domains: Set<String> get() = closings.values.mapTo(HashSet()) { it.head.fabricDomain.orEmpty() }

    /** Whether [key] is being closed. */
    operator fun contains(key: ReplicaEpoch): Boolean = key in closings

    /** Starts to close [replicas] because of [reason]. */
    fun begin(
        replicas: List<Replica>,
        reason: String,
    ) = replicas.forEach { replica ->
        val key = ReplicaEpoch(replica.name, replica.epoch)
        closings[key] = Closing(replica.head)
        context.events.log("replica.closing", "replica" to key, "reason" to reason)
    }

    /** Returns the orders to the heads; forgets replicas that [workers] no longer list as open or closing. */
    fun update(workers: List<Worker>): List<Order> {
        val listed = workers.associateBy { it.incarnation }
        closings.entries.removeIf { (key, closing) -> !isServing(listed[closing.head.incarnation], key) }
        val now = context.clock.nowMs()
        val due = closings.filterValues { it.isDue(now) }
        due.keys.forEach(context.replicaListener::onClosing)
        return due.filterValues { !it.accepted }.map { (key, it) -> Order.Close(it.head, key.replica, key.epoch) }
    }

    /** The order to close [key] ended with [result]; a refusal means that it does not close. */
    fun onResult(
        key: ReplicaEpoch,
        result: OrderResult,
    ) {
        when (result) {
            is OrderResult.Refused -> closings.remove(key)
            is OrderResult.NoAnswer -> Unit
            else -> closings[key]?.accepted = true
        }
    }

    private fun isServing(
        head: Worker?,
        key: ReplicaEpoch,
    ): Boolean {
        val membership = head?.membership?.takeIf { it.key == key }
        return membership?.state == MemberState.OPEN || membership?.state == MemberState.CLOSING
    }

    private class Closing(
        val head: Worker,
    ) {
        var accepted = false
        private var dueAtMs = Long.MIN_VALUE

        /** Returns whether the order and the notification are due at [now]; if so, restarts their period. */
        fun isDue(now: Long): Boolean {
            val due = now >= dueAtMs
            if (due) dueAtMs = now + RETRY_MS
            return due
        }
    }

    private companion object {
        /** Time after which an order that was not answered is sent again, and the other processes are told again. */
        const val RETRY_MS = 500L
    }
}
