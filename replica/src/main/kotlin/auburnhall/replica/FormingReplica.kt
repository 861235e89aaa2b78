/*
 * State of one replica from the first order to its members until it takes requests.
 */
package auburnhall.replica

import auburnhall.core.MemberState
import auburnhall.core.Membership
import auburnhall.core.Worker

/** A replica with one list of members; a different list has a different [epoch]. */
data class ReplicaEpoch(
    val replica: String,
    val epoch: Long,
) {
    override fun toString() = "$replica@$epoch"
}

/** The replica and epoch of this membership. */
val Membership.key: ReplicaEpoch get() = ReplicaEpoch(replica, epoch)

/** A replica that is being formed. */
class FormingReplica(
    val key: ReplicaEpoch,
    val model: String,
    /** In rank order, the head first. */
    val members: List<Worker>,
    /** Monotonic time after which the formation is given up. */
    val deadlineMs: Long,
    /** Whether it only loads the weights into a spare worker and never takes requests. */
    val spare: Boolean,
    /** Replicas that each member, by id, has to leave before it joins, since their heads may still take requests. */
    replicasToLeave: Map<String, Set<ReplicaEpoch>>,
) {
    private val pendingLeaves = replicasToLeave.mapValues { it.value.toMutableSet() }
    private val accepted = HashSet<String>()
    private val ready = HashSet<String>()
    private val lastSentAtMs = HashMap<String, Long>()
    private var openSentAtMs = Long.MIN_VALUE

    /** Whether the head was ordered to open; it may be open from then on. */
    val openOrdered: Boolean get() = openSentAtMs != Long.MIN_VALUE

    /** Whether the head has reported that it is open. */
    var openReported = false
        private set

    /** Whether the head has accepted the order to open. */
    var openAccepted = false

    val head: Worker get() = members.first()
    val memberIds: List<String> = members.map { it.id }
    val allReady: Boolean get() = ready.size == members.size

    /** Returns a replica that [worker] has to leave first; null when it may join. */
    fun nextToLeave(worker: Worker): ReplicaEpoch? = pendingLeaves[worker.id]?.firstOrNull()

    /** [worker] has left [replica]. */
    fun onLeft(
        worker: Worker,
        replica: ReplicaEpoch,
    ) {
        if (pendingLeaves[worker.id]?.remove(replica) == true) lastSentAtMs.remove(worker.id)
    }

    /** [worker] accepted the order to join. */
    fun onAccepted(worker: Worker) {
        accepted.add(worker.id)
    }

    /** [worker] reported [membership]. */
    fun onMembership(
        worker: Worker,
        membership: Membership?,
    ) {
        if (membership?.key != key) return
        accepted.add(worker.id)
        if (membership?.state != MemberState.JOINING) ready.add(worker.id)
        if (worker.id == head.id && membership?.state == MemberState.OPEN) openReported = true
    }

    /** Whether [worker] has reported itself ready in this replica and epoch. */
    fun isReady(worker: Worker): Boolean = worker.id in ready

    /** Whether [worker] has accepted the order to join. */
    fun isAccepted(worker: Worker): Boolean = worker.id in accepted

    /** Returns whether the next order or probe to [worker] is due at [now]; if so, restarts its period. */
    fun sendDue(
        worker: Worker,
        now: Long,
        periodMs: Long,
    ): Boolean {
        val last = lastSentAtMs[worker.id]
        if (last != null && now - last < periodMs) return false
        lastSentAtMs[worker.id] = now
        return true
    }

    /** Returns the order to the head to take requests. */
    fun openOrder() = Order.Open(head, key.replica, key.epoch)

    /** Returns whether an order to open is due at [now]; if so, restarts its period. */
    fun openDue(
        now: Long,
        periodMs: Long,
    ): Boolean {
        val due = openSentAtMs == Long.MIN_VALUE || now - openSentAtMs >= periodMs
        if (due) openSentAtMs = now
        return due
    }
}
