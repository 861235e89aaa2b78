/*
 * What the controller has seen of each engine: its last status, when it was asked for, and whether the engine has lost
 * what it held by a restart.
 */
package auburnhall.replica

import auburnhall.core.InstanceId
import auburnhall.core.Replica
import auburnhall.engine.EngineState
import auburnhall.engine.EngineStatus

/**
 * What is known of one instance. Times are monotonic milliseconds of this process.
 *
 * @property askedSince when the instance was first asked; silence is counted from here until it answers.
 * @property aliveAt when the request that was answered last had been sent; null before the first answer.
 * @property answeringSince since when it has answered without a gap of [ReplicaTiming.PRESENCE_MILLIS] or a restart.
 * @property roundTripMillis smoothed time to answer.
 * @property lostGeneration replicas up to this generation have lost the instance's state, because it restarted.
 * @property missingSince since when the instance reports that it cannot reach another member; null while it can.
 * @property idleSince since when every answer named no work; null while there is some.
 */
data class InstanceHealth(
    val askedSince: Long,
    val aliveAt: Long? = null,
    val answeringSince: Long? = null,
    val status: EngineStatus? = null,
    val roundTripMillis: Long = 0,
    val lostGeneration: Long = 0,
    val missingSince: Long? = null,
    val idleSince: Long? = null,
) {
    /** Milliseconds without a sign of life at [now]. */
    fun silentMillis(now: Long): Long = now - (aliveAt ?: askedSince)

    /** Tells whether the instance has given a sign of life within [ReplicaTiming.PRESENCE_MILLIS]. */
    fun isPresent(now: Long): Boolean = aliveAt != null && silentMillis(now) <= ReplicaTiming.PRESENCE_MILLIS

    /** Tells whether the instance has been silent for [ReplicaTiming.LOST_MILLIS]. */
    fun isLost(now: Long): Boolean = silentMillis(now) > ReplicaTiming.LOST_MILLIS

    /** Tells whether the instance says that it holds nothing. */
    val isIdle: Boolean get() = status?.let { it.state == EngineState.IDLE && it.replica == null } ?: false

    /** Tells whether the instance itself names [replica], its generation, model and version. */
    fun names(replica: Replica): Boolean {
        val s = status ?: return false
        return s.replica == replica.id &&
            s.generation == replica.generation &&
            s.model == replica.model &&
            s.modelVersion == replica.modelVersion &&
            lostGeneration < replica.generation
    }

    /** Tells whether the instance itself says that it is ready to serve as a member of [replica]. */
    fun isReadyFor(replica: Replica): Boolean =
        names(replica) && status?.state == EngineState.READY && missingSince == null

    /** The health after [status] came to a request sent at [sentAt]; [assigned] is the instance's replica, if any. */
    fun answered(
        status: EngineStatus,
        sentAt: Long,
        now: Long,
        assigned: Replica?,
    ): InstanceHealth {
        val before = this.status
        val restarted = before != null && before.incarnation != status.incarnation
        val held = maxOf(before?.generation ?: 0, assigned?.generation ?: 0)
        val took = now - sentAt
        val unbroken = !restarted && isPresent(sentAt)
        return copy(
            aliveAt = sentAt,
            answeringSince = if (unbroken) answeringSince else sentAt,
            status = status,
            roundTripMillis = if (aliveAt == null) took else (roundTripMillis * SMOOTHING + took) / (SMOOTHING + 1),
            lostGeneration = if (restarted) maxOf(lostGeneration, held) else lostGeneration,
            missingSince = if (status.missingMembers.isEmpty()) null else missingSince ?: now,
            idleSince = if (status.running + status.queued > 0) null else idleSince ?: sentAt,
        )
    }

    private companion object {
        const val SMOOTHING = 3
    }
}

/** The [InstanceHealth] of every engine of a data centre. Used on the control thread only. */
internal class HealthBook {
    private val byInstance = HashMap<InstanceId, InstanceHealth>()

    /** What is known of each instance now. */
    val all: Map<InstanceId, InstanceHealth> get() = byInstance

    /** Begins to watch [instance] at [now], unless it is watched already. */
    fun asked(
        instance: InstanceId,
        now: Long,
    ) {
        byInstance.getOrPut(instance) { InstanceHealth(now) }
    }

    /** Replaces what is known of [instance]. */
    fun update(
        instance: InstanceId,
        change: (InstanceHealth) -> InstanceHealth,
    ) {
        byInstance[instance]?.let { byInstance[instance] = change(it) }
    }

    /** Forgets every instance that is not in [instances]. */
    fun retain(instances: Set<InstanceId>) {
        byInstance.keys.retainAll(instances)
    }
}
