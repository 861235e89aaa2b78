/*
 * Failure detector for replicas: distinguishes a replica that has lost a member from a busy one. All streams of a
 * replica advance together, one pass at a time, so a replica is suspect when none of its streams advances, long before
 * the platform's list of workers shows the loss.
 */
package auburnhall.routing

import auburnhall.core.Clock

/** State of a replica, as seen from one of its streams. */
enum class Liveness {
    /** The replica has recently been active. */
    ALIVE,

    /** Nothing was received from the replica for longer than most passes take. */
    SUSPECT,

    /** Suspect, and not confirmed as healthy within the time that a probe takes. */
    LOST,
}

/** Records when each replica was last active. Traffic thread only. */
class ReplicaFailureDetector(
    private val clock: Clock,
) {
    private val lastActiveAtMs = HashMap<TargetKey, Long>()

    /** Bytes of a stream of [key] arrived, or all its members responded to a probe. */
    fun onActivity(key: TargetKey) {
        lastActiveAtMs[key] = clock.nowMs()
    }

    /** State of [key] for a stream that has waited since [waitingSince]; [started] is true after its first event. */
    fun liveness(
        key: TargetKey,
        waitingSince: Long,
        started: Boolean,
    ): Liveness {
        val now = clock.nowMs()
        val suspectAtMs = suspectAtMs(key, waitingSince, started)
        return when {
            now >= suspectAtMs + CONFIRMATION_TIMEOUT_MS -> Liveness.LOST
            now >= suspectAtMs -> Liveness.SUSPECT
            else -> Liveness.ALIVE
        }
    }

    /** When the state of [key], which is not lost, changes if nothing is received from it; see [liveness]. */
    fun nextChangeAtMs(
        key: TargetKey,
        waitingSince: Long,
        started: Boolean,
    ): Long {
        val suspectAtMs = suspectAtMs(key, waitingSince, started)
        return if (clock.nowMs() < suspectAtMs) suspectAtMs else suspectAtMs + CONFIRMATION_TIMEOUT_MS
    }

    private fun suspectAtMs(
        key: TargetKey,
        waitingSince: Long,
        started: Boolean,
    ): Long {
        val silentSince = maxOf(waitingSince, lastActiveAtMs[key] ?: 0L)
        return silentSince + if (started) EVENT_TIMEOUT_MS else FIRST_EVENT_TIMEOUT_MS
    }

    /** Removes replicas that are not [present]. */
    fun retain(present: (TargetKey) -> Boolean) {
        lastActiveAtMs.keys.removeIf { !present(it) }
    }

    companion object {
        /** Several passes of a replica that reads long prompts between tokens. */
        const val EVENT_TIMEOUT_MS = 300L

        /** As above, plus the time to admit the request and to read its prompt. */
        const val FIRST_EVENT_TIMEOUT_MS = 700L

        /** Time in which the controller probes a suspect replica and reports that it is healthy. */
        const val CONFIRMATION_TIMEOUT_MS = 80L
    }
}
