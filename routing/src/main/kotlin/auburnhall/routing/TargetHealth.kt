/*
 * Tracks which targets are avoided for a time: those that failed requests, suspect or lost replicas, and slow ones.
 */
package auburnhall.routing

import auburnhall.core.Clock

/** Avoids failing and suspect targets, and readmits failing ones after an exponential backoff. Traffic thread only. */
class TargetHealth(
    private val clock: Clock,
) {
    private val records = HashMap<TargetKey, Record>()

    /** Targets that work, but slowly. */
    val slow = MarkedTargets(clock, SLOW_MS)

    /** Targets that end the requests that they have and take no more. */
    val closing = MarkedTargets(clock, CLOSING_MS)

    /** A request to [key] failed in a way that indicates a fault of the target. */
    fun onFailure(key: TargetKey) {
        val record = records.getOrPut(key) { Record() }
        record.failures++
        val exponent = (record.failures - 1).coerceAtMost(MAX_BACKOFF_DOUBLINGS)
        record.avoidUntilMs = clock.nowMs() + (FIRST_BACKOFF_MS shl exponent)
    }

    /** A response to a request to [key] arrived; [error] is true if it reports a failure of the worker itself. */
    fun onAnswer(
        key: TargetKey,
        error: Boolean,
    ) {
        val record = records.getOrPut(key) { Record() }
        record.errorRate += ((if (error) 1.0 else 0.0) - record.errorRate) * ERROR_WEIGHT
        if (error && hasHighErrorRate(key)) record.avoidUntilMs = clock.nowMs() + HIGH_ERROR_RATE_BACKOFF_MS
        if (!error) {
            record.failures = 0
            record.avoidUntilMs = 0
        }
    }

    /** Whether [key] fails so many requests that the cause is likely the target, not the requests. */
    fun hasHighErrorRate(key: TargetKey): Boolean = (records[key]?.errorRate ?: 0.0) >= HIGH_ERROR_RATE

    /** Marks [key] as suspect, as detected by this process or reported by another one. */
    fun markSuspect(key: TargetKey) {
        records.getOrPut(key) { Record() }.suspectUntilMs = clock.nowMs() + SUSPECT_MS
    }

    /** Marks [key] as lost: the controller is tearing the replica down. */
    fun markLost(key: TargetKey) {
        records.getOrPut(key) { Record() }.lostUntilMs = clock.nowMs() + LOST_MS
    }

    /** Ends the suspicion of [key], which has been active again; a lost replica stays lost. */
    fun clearSuspicion(key: TargetKey) {
        records[key]?.suspectUntilMs = 0
    }

    /** Whether [key] is lost or suspect. */
    fun isSuspect(key: TargetKey): Boolean = isLost(key) || (records[key]?.suspectUntilMs ?: 0) > clock.nowMs()

    /** Whether the controller is tearing [key] down. */
    fun isLost(key: TargetKey): Boolean = (records[key]?.lostUntilMs ?: 0) > clock.nowMs()

    /** Whether other targets are preferred to [key]. */
    fun isAvoided(key: TargetKey): Boolean {
        val record = records[key] ?: return key in closing
        val untilMs = maxOf(record.avoidUntilMs, record.suspectUntilMs, record.lostUntilMs)
        return untilMs > clock.nowMs() || key in closing
    }

    /** Removes targets that are not [present]. */
    fun retain(present: (TargetKey) -> Boolean) {
        records.keys.removeIf { !present(it) }
        slow.retain(present)
        closing.retain(present)
    }

    private class Record {
        var failures = 0
        var avoidUntilMs = 0L
        var errorRate = 0.0
        var suspectUntilMs = 0L
        var lostUntilMs = 0L
    }

    private companion object {
        /** Weight of the latest response in the moving average of the error rate. */
        const val ERROR_WEIGHT = 0.2

        /** Error rate above the one that requests cause by themselves. */
        const val HIGH_ERROR_RATE = 0.35

        /** Time for which a target with a high error rate is avoided. */
        const val HIGH_ERROR_RATE_BACKOFF_MS = 1_000L
        const val FIRST_BACKOFF_MS = 250L
        const val MAX_BACKOFF_DOUBLINGS = 4

        /** Covers the time that the controller needs for a probe; a healthy replica is cleared sooner. */
        const val SUSPECT_MS = 800L

        /** Covers the time until the list of workers shows that the replica is closing. */
        const val CLOSING_MS = 4_000L

        /** Covers two of the controller's checks of a slow member. */
        const val SLOW_MS = 2_500L

        /** Covers the time until the list of workers shows that the replica is gone. */
        const val LOST_MS = 4_000L
    }
}

/** Targets that the controller marked, each for [markMs] milliseconds from the last time. Traffic thread only. */
class MarkedTargets(
    private val clock: Clock,
    private val markMs: Long,
) {
    private val markedUntilMs = HashMap<TargetKey, Long>()

    /** Marks [key]. */
    fun mark(key: TargetKey) {
        markedUntilMs[key] = clock.nowMs() + markMs
    }

    /** Whether [key] is marked. */
    operator fun contains(key: TargetKey): Boolean = (markedUntilMs[key] ?: 0) > clock.nowMs()

    /** Removes targets that are not [present]. */
    fun retain(present: (TargetKey) -> Boolean) {
        markedUntilMs.keys.removeIf { !present(it) }
    }
}
