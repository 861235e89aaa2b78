/*
 * Dependencies and per-term state that the parts of a replica controller share.
 */
package auburnhall.replica

import auburnhall.core.Clock
import auburnhall.core.EventListener

/** Receives the controller's findings about replicas that take requests. */
interface ReplicaListener {
    /** All members of [key] have answered a probe since the replica was suspected. */
    fun onHealthy(key: ReplicaEpoch)

    /** [key] has a slow member, and its domain has no spare to replace it; repeated while this holds. */
    fun onSlow(key: ReplicaEpoch)

    /** [key] ends its requests and must get no more; repeated until its head says so. */
    fun onClosing(key: ReplicaEpoch)

    /** [key] is being torn down and must get no more requests; repeated while its head does not answer. */
    fun onTeardown(key: ReplicaEpoch)
}

/** One controller's term of leadership; epochs of a later term are higher. */
class ControllerTerm(
    private val firstEpoch: Long,
    /** Whether no request was served before this term; weight loads are then not limited at first. */
    val firstStart: Boolean,
) {
    private var issued = 0L

    /** Returns an epoch that has not been used before. */
    fun nextEpoch(): Long = firstEpoch + issued++
}

/**
 * Records stalls of the control thread: an answer that arrived during a stall may still be unread when its probe times
 * out, so the probe must not count as missed. Control thread only.
 */
class ControlThreadStall(
    private val clock: Clock,
) {
    private var recentUntilMs = Long.MIN_VALUE

    /** Whether probes that were in flight during the last stall may still time out although they were answered. */
    val isRecent: Boolean get() = clock.nowMs() < recentUntilMs

    /** Records that the control thread was stalled until now. */
    fun record() {
        recentUntilMs = clock.nowMs() + STALL_GRACE_MS
    }

    private companion object {
        /** Longer than the timeout of a probe. */
        const val STALL_GRACE_MS = 200L
    }
}

/** Dependencies of the controller of [service]. */
class ControllerContext(
    val service: String,
    val clock: Clock,
    val term: ControllerTerm,
    val events: EventListener,
    val replicaListener: ReplicaListener,
    val controlStall: ControlThreadStall,
)
