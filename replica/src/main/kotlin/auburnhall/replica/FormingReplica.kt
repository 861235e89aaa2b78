/*
 * A replica on its way from the first order to taking requests.
 */
package auburnhall.replica

import auburnhall.core.MemberState
import auburnhall.core.Membership
import auburnhall.core.Worker

/** One list of members of a replica. */
data class ReplicaEpoch(
    val replica: String,
    val epoch: Long,
) {
    override fun toString() = "$replica@$epoch"
}

/** The replica that this membership is in. */
val Membership.key: ReplicaEpoch get() = ReplicaEpoch(replica, epoch)

/** A replica that is being formed. */
class FormingReplica(
    val key: ReplicaEpoch,
    val model: String,
    /** In rank order, the head first. */
    val members: List<Worker>,
    /** When it is given up, by the monotonic clock. */
    val giveUpAt: Long,
    /** Whether it only keeps weights ready and never takes requests. */
    val spare: Boolean,
    /** Replicas that each member, by id, has to leave before it joins, since their heads may still take requests. */
    toLeave: Map<String, Set<ReplicaEpoch>>,
) {
    private val unleft = toLeave.mapValues { it.value.toMutableSet() }
    private val accepted = HashSet<String>()
    private val ready = HashSet<String>()
    private val lastTried = HashMap<String, Long>()
    private var openTriedAt = Long.MIN_VALUE

    /** Whether the head was ordered to open; it may be open from then on. */
    val openOrdered: Boolean get() = openTriedAt != Long.MIN_VALUE

    /** Whether the head reports that it is open. */
    var openSeen = false
        private set

    /** Whether the head took the order to open. */
    var openAccepted = false

    val head: Worker get() = members.first()
    val ids: List<String> = members.map { it.id }
    val complete: Boolean get() = ready.size == members.size

    /** A replica that [worker] has to leave; null when it may join. */
    fun toLeave(worker: Worker): ReplicaEpoch? = unleft[worker.id]?.firstOrNull()

    /** [worker] has left [replica]. */
    fun onLeft(
        worker: Worker,
        replica: ReplicaEpoch,
    ) {
        if (unleft[worker.id]?.remove(replica) == true) lastTried.remove(worker.id)
    }

    /** [worker] took the order to join. */
    fun onAccepted(worker: Worker) {
        accepted.add(worker.id)
    }

    /** [worker] says that its membership is [membership]. */
    fun onMembership(
        worker: Worker,
        membership: Membership?,
    ) {
        if (membership?.key != key) return
        accepted.add(worker.id)
        if (membership?.state != MemberState.JOINING) ready.add(worker.id)
        if (worker.id == head.id && membership?.state == MemberState.OPEN) openSeen = true
    }

    /** Whether [worker] is ready under this replica, epoch and list of members. */
    fun isReady(worker: Worker): Boolean = worker.id in ready

    /** Whether [worker] took the order to join. */
    fun isAccepted(worker: Worker): Boolean = worker.id in accepted

    /** Whether it is time to ask [worker] once more; notes that it is asked at [now]. */
    fun due(
        worker: Worker,
        now: Long,
        periodMs: Long,
    ): Boolean {
        val last = lastTried[worker.id]
        if (last != null && now - last < periodMs) return false
        lastTried[worker.id] = now
        return true
    }

    /** The order that lets it take requests. */
    fun open() = Order.Open(head, key.replica, key.epoch)

    /** Whether it is time to order the head to open; notes that it is ordered at [now]. */
    fun openDue(
        now: Long,
        periodMs: Long,
    ): Boolean {
        val due = openTriedAt == Long.MIN_VALUE || now - openTriedAt >= periodMs
        if (due) openTriedAt = now
        return due
    }
}
