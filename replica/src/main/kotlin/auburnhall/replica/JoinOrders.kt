/*
 * Orders that bring workers into a replica that is being formed.
 */
package auburnhall.replica

import auburnhall.core.Clock
import auburnhall.core.ReplicaName
import auburnhall.core.Worker

/** Produces these orders and remembers the last replica that each worker was ordered to join. Control thread only. */
class JoinOrders(
    private val clock: Clock,
) {
    private val lastJoined = HashMap<WorkerIncarnation, ReplicaEpoch>()

    /** The model of the last replica that [worker] was ordered to join since its start; null when there was none. */
    fun lastModel(worker: Worker): String? = lastJoined[worker.incarnation]?.let { ReplicaName.modelOf(it.replica) }

    /**
     * Replicas whose head may still count [worker] as a member: the one that it reports and the last one that it was
     * ordered to join.
     */
    fun replicasToLeave(worker: Worker): Set<ReplicaEpoch> =
        setOfNotNull(worker.membership?.key, lastJoined[worker.incarnation])

    /** Forgets workers that are not [listed]. */
    fun retain(listed: Set<WorkerIncarnation>) {
        lastJoined.keys.retainAll(listed)
    }

    /** Returns the orders and probes that are due to members of [replica] that are not ready. */
    fun orders(replica: FormingReplica): List<Order> =
        replica.members.filter { !replica.isReady(it) }.mapNotNull { worker ->
            val accepted = replica.isAccepted(worker)
            val period = if (accepted) PROBE_INTERVAL_MS else JOIN_RETRY_MS
            when {
                !replica.sendDue(worker, clock.nowMs(), period) -> null
                accepted -> if (replica.spare) null else Order.Probe(worker)
                else -> leaveOrJoin(replica, worker)
            }
        }

    private fun leaveOrJoin(
        replica: FormingReplica,
        worker: Worker,
    ): Order {
        replica.nextToLeave(worker)?.let { return Order.Leave(worker, it.replica, it.epoch) }
        lastJoined[worker.incarnation] = replica.key
        return Order.Join(worker, replica.key.replica, replica.key.epoch, replica.model, replica.memberIds)
    }

    private companion object {
        /** Time after which an order to leave or join is sent again unless it was answered. */
        const val JOIN_RETRY_MS = 500L

        /** Time between probes of a member that has joined and is not yet ready. */
        const val PROBE_INTERVAL_MS = 200L
    }
}
