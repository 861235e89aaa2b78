/*
 * Tears down replicas with a lost, slow, draining or missing member. Designed for the loss of a single worker as well
 * as of a whole domain: the remaining members are free for new replicas as soon as the head has confirmed that it takes
 * no more requests.
 */
package auburnhall.replica

import auburnhall.core.Fleet
import auburnhall.core.MemberState
import auburnhall.core.Replica
import auburnhall.core.Worker
import auburnhall.core.log

/** The replicas that are being torn down. Control thread only. */
class TeardownManager(
    private val context: ControllerContext,
    private val monitor: MemberMonitor,
    /** Whether a replica is still being formed by this controller. */
    private val isForming: (ReplicaEpoch) -> Boolean,
    /** Whether there is a spare that could replace a member. */
    private val hasSpare: (Worker) -> Boolean,
) {
    private val teardowns = LinkedHashMap<ReplicaEpoch, ReplicaTeardown>()
    private val incompleteSinceMs = HashMap<ReplicaEpoch, Long>()
    private val announcedAtMs = HashMap<ReplicaEpoch, Long>()

    /** Whether [key] is being torn down. */
    operator fun contains(key: ReplicaEpoch): Boolean = key in teardowns

    /** Whether [worker] is a head that takes requests, as far as is known. */
    fun isServingHead(worker: Worker): Boolean {
        val membership = worker.membership
        val open = membership?.state == MemberState.OPEN || membership?.state == MemberState.CLOSING
        val hasLeft = membership?.let { teardowns[it.key]?.headHasLeft } == true
        return open && !hasLeft && membership?.rank == 0 && !monitor.isLost(worker)
    }

    /**
     * Starts teardowns that [workers] and [open], the replicas that are open or closing, call for, and returns the
     * orders to the heads.
     */
    fun update(
        fleet: Fleet,
        open: List<Replica>,
        workers: List<Worker>,
    ): List<Order> {
        val openByKey = open.associateBy { ReplicaEpoch(it.name, it.epoch) }
        incompleteSinceMs.keys.removeAll(openByKey.keys)
        announceLostHeads(workers)
        announceSlow(open)
        for (head in workers.filter(::isServingHead)) {
            val key = checkNotNull(head.membership).key
            val cause = openByKey[key]?.let { memberCause(it) } ?: incompleteCause(key, openByKey, workers)
            if (cause != null && !isForming(key)) begin(head, key, cause, fleet.revision)
        }
        teardowns.values.removeIf { it.isFinished(workers) || monitor.isLost(it.head) }
        return teardowns.values.mapNotNull { it.nextOrder(context.clock.nowMs()) }
    }

    /**
     * Tears down the replica [key] with the head [head] because of [cause], as seen at [revision] of the store; 0 if
     * the cause was not seen in the store.
     */
    fun begin(
        head: Worker,
        key: ReplicaEpoch,
        cause: String,
        revision: Long,
    ) {
        if (key in teardowns) return
        teardowns[key] = ReplicaTeardown(head, key)
        monitor.forget(key)
        context.replicaListener.onTeardown(key)
        context.events.log("replica.breaking", "replica" to key, "cause" to cause, "fleet" to revision)
    }

    /** An order to [worker] to leave [key] ended with [result]; ignored unless [worker] is the head. */
    fun onLeaveResult(
        worker: Worker,
        key: ReplicaEpoch,
        result: OrderResult,
    ) {
        teardowns[key]?.takeIf { it.head.incarnation == worker.incarnation }?.onResult(result)
    }

    /** A lost head cannot be ordered to leave, so the listener is notified to send its replica no more requests. */
    private fun announceLostHeads(workers: List<Worker>) {
        for (head in workers.filter { monitor.isLost(it) }) {
            val membership = head.membership?.takeIf { it.state == MemberState.OPEN && it.rank == 0 } ?: continue
            if (announceDue(membership.key)) context.replicaListener.onTeardown(membership.key)
        }
    }

    /** A replica with a slow member and no spare keeps running, but is to get fewer requests than others. */
    private fun announceSlow(open: List<Replica>) {
        for (replica in open.filter { candidate -> candidate.members.any { monitor.isSlow(it) && !hasSpare(it) } }) {
            val key = ReplicaEpoch(replica.name, replica.epoch)
            if (key in teardowns || !announceDue(key)) continue
            val slow = replica.members.filter(monitor::isSlow).joinToString(",") { it.id }
            context.events.log("replica.slow", "replica" to key, "members" to slow)
            context.replicaListener.onSlow(key)
        }
    }

    private fun announceDue(key: ReplicaEpoch): Boolean {
        val now = context.clock.nowMs()
        val due = announcedAtMs[key]?.let { now - it >= ANNOUNCE_INTERVAL_MS } != false
        if (due) announcedAtMs[key] = now
        return due
    }

    private fun memberCause(replica: Replica): String? {
        val lost = replica.members.firstOrNull { monitor.isLost(it) }
        val slow = replica.members.firstOrNull { monitor.isSlow(it) && hasSpare(it) }
        return lost?.let { "member ${it.id} lost" } ?: slow?.let { "member ${it.id} slow" }
    }

    /** Members may be listed one after the other, so a missing member counts only after a grace period. */
    private fun incompleteCause(
        key: ReplicaEpoch,
        openByKey: Map<ReplicaEpoch, Replica>,
        workers: List<Worker>,
    ): String? {
        if (key in openByKey) return null
        val now = context.clock.nowMs()
        val since = incompleteSinceMs.getOrPut(key) { now }
        val draining = workers.firstOrNull { it.membership?.key == key && it.draining }
        val missing = if (now - since >= MISSING_MEMBER_GRACE_MS) "a member is missing" else null
        return draining?.let { "member ${it.id} is draining" } ?: missing
    }

    private companion object {
        /** Workers that were cut off from the store are listed again within about this time. */
        const val MISSING_MEMBER_GRACE_MS = 1_500L

        /** Time between notifications about the same replica with a lost head or a slow member. */
        const val ANNOUNCE_INTERVAL_MS = 1_000L
    }
}
