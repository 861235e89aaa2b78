/*
 * Tells a replica that has lost a member from a busy one. All streams of a replica advance together, a pass at a time,
 * so a replica is silent when none of its streams moves, long before the platform's list shows a loss.
 */
package auburnhall.routing

import auburnhall.core.Clock

/** What the silence of a stream means. */
enum class Silence {
    /** The replica was heard from lately. */
    NONE,

    /** Nothing came from the replica for a time that few passes take. */
    SUSPECT,

    /** As above, and it was not found sound in the time that this takes. */
    LOST,
}

/** Notes when each replica was last heard from. Traffic thread only. */
class SilenceMonitor(
    private val clock: Clock,
) {
    private val heardAt = HashMap<TargetKey, Long>()

    /** Bytes of a stream of [key] arrived, or all its members answered. */
    fun onHeard(key: TargetKey) {
        heardAt[key] = clock.nowMs()
    }

    /** Judges [key] for a stream that waits since [waitingSince] and has had its first event where [started]. */
    fun judge(
        key: TargetKey,
        waitingSince: Long,
        started: Boolean,
    ): Silence {
        val silentSince = maxOf(waitingSince, heardAt[key] ?: 0L)
        val patience = if (started) STARTED_PATIENCE_MS else FIRST_EVENT_PATIENCE_MS
        val silentMs = clock.nowMs() - silentSince
        return when {
            silentMs >= patience + VERDICT_MS -> Silence.LOST
            silentMs >= patience -> Silence.SUSPECT
            else -> Silence.NONE
        }
    }

    /** Forgets replicas that are gone. */
    fun retain(present: (TargetKey) -> Boolean) {
        heardAt.keys.removeIf { !present(it) }
    }

    companion object {
        /** Several passes of a replica that reads long prompts between tokens. */
        const val STARTED_PATIENCE_MS = 300L

        /** As above, with the time to read this request's own prompt and to be admitted. */
        const val FIRST_EVENT_PATIENCE_MS = 700L

        /** Time in which the controller finds a sound replica sound and says so. */
        const val VERDICT_MS = 80L
    }
}
