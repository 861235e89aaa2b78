/*
 * What the parts of a controller share.
 */
package auburnhall.replica

import auburnhall.core.Clock
import auburnhall.core.EventListener

/** Told what the controller finds out of replicas that take requests. */
interface ReplicaListener {
    /** All members of [key] have just answered. */
    fun onHealthy(key: ReplicaEpoch)

    /** [key] has a slow member and no spare for it. */
    fun onSlow(key: ReplicaEpoch)

    /** [key] is taken apart and must get no more requests. */
    fun onTeardown(key: ReplicaEpoch)
}

/** One controller's term; epochs of a later term are higher. */
class ControllerTerm(
    private val firstEpoch: Long,
    /** Whether no request was served before this term, when loads are not limited. */
    val firstStart: Boolean,
) {
    private var used = 0L

    /** An epoch that was not used before. */
    fun nextEpoch(): Long = firstEpoch + used++
}

/** Notes when the control thread was held up, so that answers may wait unread. Control thread only. */
class ControlThreadStall(
    private val clock: Clock,
) {
    private var until = Long.MIN_VALUE

    /** Whether probes that were on their way meanwhile may still look unanswered. */
    val isRecent: Boolean get() = clock.nowMs() < until

    /** The thread was held up until now. */
    fun record() {
        until = clock.nowMs() + DOUBT_MS
    }

    private companion object {
        /** Longer than a probe may take, in milliseconds. */
        const val DOUBT_MS = 200L
    }
}

/** The surroundings of the controller of [service]. */
class ControllerContext(
    val service: String,
    val clock: Clock,
    val term: ControllerTerm,
    val events: EventListener,
    val replicaListener: ReplicaListener,
    val controlStall: ControlThreadStall,
)
