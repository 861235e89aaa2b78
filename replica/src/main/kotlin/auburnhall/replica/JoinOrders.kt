/*
 * The orders that bring members into a replica.
 */
package auburnhall.replica

import auburnhall.core.Clock
import auburnhall.core.ReplicaName
import auburnhall.core.Worker

/** Remembers what each worker was last ordered to join. Control thread only. */
class JoinOrders(
    private val clock: Clock,
) {
    private val last = HashMap<WorkerIncarnation, ReplicaEpoch>()

    /** The model that [worker] was last ordered to hold since its start. */
    fun lastModel(worker: Worker): String? = last[worker.incarnation]?.let { ReplicaName.modelOf(it.replica) }

    /**
     * Replicas whose head may still count [worker] as a member: the one it reports, and the last that it was to
     * join.
     */
    fun toLeave(worker: Worker): Set<ReplicaEpoch> = setOfNotNull(worker.membership?.key, last[worker.incarnation])

    /** Forgets starts that are not [listed]. */
    fun retain(listed: Set<WorkerIncarnation>) {
        last.keys.retainAll(listed)
    }

    /** The orders to members of [replica] that are not ready. */
    fun orders(replica: FormingReplica): List<Order> =
        replica.members.filter { !replica.isReady(it) }.mapNotNull { worker ->
            val accepted = replica.isAccepted(worker)
            val period = if (accepted) READY_POLL_MS else JOIN_RETRY_MS
            when {
                !replica.due(worker, clock.nowMs(), period) -> null
                accepted -> if (replica.spare) null else Order.Probe(worker)
                else -> leaveOrJoin(replica, worker)
            }
        }

    private fun leaveOrJoin(
        replica: FormingReplica,
        worker: Worker,
    ): Order {
        replica.toLeave(worker)?.let { return Order.Leave(worker, it.replica, it.epoch) }
        last[worker.incarnation] = replica.key
        return Order.Join(worker, replica.key.replica, replica.key.epoch, replica.model, replica.ids)
    }

    private companion object {
        /** Time after which an order without an answer is sent again. */
        const val JOIN_RETRY_MS = 500L

        /** Time between questions whether a member is ready. */
        const val READY_POLL_MS = 200L
    }
}
