/*
 * Tells a replica that has lost a member from a busy one. All streams of a replica advance together, a pass at a time,
 * so a replica is silent when none of its streams moves, long before the platform's list shows a loss.
 */
package auburnhall.routing

import auburnhall.core.Clock

/** What the silence of a stream means. */
enum class Liveness {
    /** The replica was heard from lately. */
    ALIVE,

    /** Nothing came from the replica for a time that few passes take. */
    SUSPECT,

    /** As above, and it was not found sound in the time that this takes. */
    LOST,
}

/** Notes when each replica was last heard from. Traffic thread only. */
class ReplicaFailureDetector(
    private val clock: Clock,
) {
    private val heardAt = HashMap<TargetKey, Long>()

    /** Bytes of a stream of [key] arrived, or all its members answered. */
    fun onActivity(key: TargetKey) {
        heardAt[key] = clock.nowMs()
    }

    /** Judges [key] for a stream that waits since [waitingSince] and has had its first event where [started]. */
    fun liveness(
        key: TargetKey,
        waitingSince: Long,
        started: Boolean,
    ): Liveness {
        val silentSince = maxOf(waitingSince, heardAt[key] ?: 0L)
        val patience = if (started) EVENT_TIMEOUT_MS else FIRST_EVENT_TIMEOUT_MS
        val silentMs = clock.nowMs() - silentSince
        return when {
            silentMs >= patience + CONFIRMATION_TIMEOUT_MS -> Liveness.LOST
            silentMs >= patience -> Liveness.SUSPECT
            else -> Liveness.ALIVE
        }
    }

    /** Forgets replicas that are gone. */
    fun retain(present: (TargetKey) -> Boolean) {
        heardAt.keys.removeIf { !present(it) }
    }

    companion object {
        /** Several passes of a replica that reads long prompts between tokens. */
        const val EVENT_TIMEOUT_MS = 300L

        /** As above, with the time to read this request's own prompt and to be admitted. */
        const val FIRST_EVENT_TIMEOUT_MS = 700L

        /** Time in which the controller finds a sound replica sound and says so. */
        const val CONFIRMATION_TIMEOUT_MS = 80L
    }
}
