/*
 * Takes replicas apart that have lost a member. Answers single losses and dark domains: what is left of a replica is
 * free for the next one as soon as its head has confirmed that it takes no more requests.
 */
package auburnhall.replica

import auburnhall.core.Fleet
import auburnhall.core.MemberState
import auburnhall.core.Replica
import auburnhall.core.Worker
import auburnhall.core.log

/** The replicas that are being taken apart. Control thread only. */
class TeardownManager(
    private val context: ControllerContext,
    private val monitor: MemberMonitor,
    /** Whether a replica is still being formed by this controller. */
    private val isForming: (ReplicaEpoch) -> Boolean,
    /** Whether a spare could take the place of a member. */
    private val hasSpare: (Worker) -> Boolean,
) {
    private val running = LinkedHashMap<ReplicaEpoch, ReplicaTeardown>()
    private val incompleteSince = HashMap<ReplicaEpoch, Long>()
    private val announcedAt = HashMap<ReplicaEpoch, Long>()

    /** Whether [key] is being taken apart. */
    operator fun contains(key: ReplicaEpoch): Boolean = key in running

    /** Whether [worker] is a head that takes requests, as far as is known. */
    fun takesRequests(worker: Worker): Boolean {
        val membership = worker.membership
        val open = membership?.state == MemberState.OPEN || membership?.state == MemberState.CLOSING
        val left = membership?.let { running[it.key]?.left } == true
        return open && !left && membership?.rank == 0 && !monitor.isLost(worker)
    }

    /** Finds replicas to take apart among [workers] and returns the orders to their heads. */
    fun update(
        fleet: Fleet,
        open: List<Replica>,
        workers: List<Worker>,
    ): List<Order> {
        val whole = open.associateBy { ReplicaEpoch(it.name, it.epoch) }
        incompleteSince.keys.removeAll(whole.keys)
        announceLostHeads(workers)
        announceSlow(open)
        for (head in workers.filter(::takesRequests)) {
            val key = checkNotNull(head.membership).key
            val cause = whole[key]?.let { causeToBreak(it) } ?: causeWhenIncomplete(key, whole, workers)
            if (cause != null && !isForming(key)) begin(head, key, cause, fleet.revision)
        }
        running.values.removeIf { it.isOver(workers) || monitor.isLost(it.head) }
        return running.values.mapNotNull { it.nextOrder(context.clock.nowMs()) }
    }

    /** Takes the replica [key] of [head] apart because of [cause], as seen at [revision] of the store. */
    fun begin(
        head: Worker,
        key: ReplicaEpoch,
        cause: String,
        revision: Long,
    ) {
        if (key in running) return
        running[key] = ReplicaTeardown(head, key)
        monitor.forget(key)
        context.replicaListener.onTeardown(key)
        context.events.log("replica.breaking", "replica" to key, "cause" to cause, "fleet" to revision)
    }

    /** The head of [key] has answered the order to leave. */
    fun onLeft(
        worker: Worker,
        key: ReplicaEpoch,
        result: OrderResult,
    ) {
        running[key]?.takeIf { it.head.incarnation == worker.incarnation }?.onResult(result)
    }

    /** Heads that do not answer cannot be told to leave; other processes are told to send them nothing. */
    private fun announceLostHeads(workers: List<Worker>) {
        for (head in workers.filter { monitor.isLost(it) }) {
            val membership = head.membership?.takeIf { it.state == MemberState.OPEN && it.rank == 0 } ?: continue
            if (announceDue(membership.key)) context.replicaListener.onTeardown(membership.key)
        }
    }

    /** Replicas that cannot be better formed now get fewer requests than others. */
    private fun announceSlow(open: List<Replica>) {
        for (replica in open.filter { of -> of.members.any { monitor.isSlow(it) && !hasSpare(it) } }) {
            val key = ReplicaEpoch(replica.name, replica.epoch)
            if (key in running || !announceDue(key)) continue
            val slow = replica.members.filter(monitor::isSlow).joinToString(",") { it.id }
            context.events.log("replica.slow", "replica" to key, "members" to slow)
            context.replicaListener.onSlow(key)
        }
    }

    private fun announceDue(key: ReplicaEpoch): Boolean {
        val now = context.clock.nowMs()
        val due = announcedAt[key]?.let { now - it >= ANNOUNCE_MS } != false
        if (due) announcedAt[key] = now
        return due
    }

    private fun causeToBreak(replica: Replica): String? {
        val lost = replica.members.firstOrNull { monitor.isLost(it) }
        val slow = replica.members.firstOrNull { monitor.isSlow(it) && hasSpare(it) }
        return lost?.let { "member ${it.id} lost" } ?: slow?.let { "member ${it.id} slow" }
    }

    /** Members may be listed one after the other, so a missing one counts only after a while. */
    private fun causeWhenIncomplete(
        key: ReplicaEpoch,
        whole: Map<ReplicaEpoch, Replica>,
        workers: List<Worker>,
    ): String? {
        if (key in whole) return null
        val now = context.clock.nowMs()
        val since = incompleteSince.getOrPut(key) { now }
        val leaving = workers.firstOrNull { it.membership?.key == key && it.draining }
        val missing = if (now - since >= INCOMPLETE_MS) "a member is missing" else null
        return leaving?.let { "member ${it.id} drains" } ?: missing
    }

    private companion object {
        /** Workers that were cut off from the store are listed again within about this time, in milliseconds. */
        const val INCOMPLETE_MS = 1_500L

        /** A lost head, or a slow member, is told again after this time, in milliseconds, while it is listed. */
        const val ANNOUNCE_MS = 1_000L
    }
}
