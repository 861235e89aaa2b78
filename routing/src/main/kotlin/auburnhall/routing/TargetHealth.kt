/*
 * Which targets are avoided for a while: those that failed requests, replicas that fell silent, and slow ones.
 */
package auburnhall.routing

import auburnhall.core.Clock

/** Keeps failing and silent targets out, and lets them back in after a pause that grows. Traffic thread only. */
class TargetHealth(
    private val clock: Clock,
) {
    private val records = HashMap<TargetKey, Record>()

    /** Targets that work, but slowly. */
    val slow = SlowTargets(clock)

    /** A request to [key] failed in a way that speaks against the target. */
    fun onFailure(key: TargetKey) {
        val record = records.getOrPut(key) { Record() }
        record.failures++
        val exponent = (record.failures - 1).coerceAtMost(MAX_DOUBLINGS)
        record.avoidUntil = clock.nowMs() + (FIRST_PAUSE_MS shl exponent)
    }

    /** A request to [key] was answered; [error] where the answer is a failure of the worker's own. */
    fun onAnswer(
        key: TargetKey,
        error: Boolean,
    ) {
        val record = records.getOrPut(key) { Record() }
        record.errorShare += ((if (error) 1.0 else 0.0) - record.errorShare) * ERROR_WEIGHT
        if (error && hasHighErrorRate(key)) record.avoidUntil = clock.nowMs() + OFTEN_PAUSE_MS
        if (!error) {
            record.failures = 0
            record.avoidUntil = 0
        }
    }

    /** Whether [key] fails so many requests that the failure is likely its own and not the request's. */
    fun hasHighErrorRate(key: TargetKey): Boolean = (records[key]?.errorShare ?: 0.0) >= OFTEN_SHARE

    /** [key] has fallen silent, or another process says so. */
    fun markSuspect(key: TargetKey) {
        records.getOrPut(key) { Record() }.suspectUntil = clock.nowMs() + SUSPECT_MS
    }

    /** [key] is being taken apart. */
    fun markLost(key: TargetKey) {
        records.getOrPut(key) { Record() }.lostUntil = clock.nowMs() + LOST_MS
    }

    /** [key] was heard from again. */
    fun clearSuspicion(key: TargetKey) {
        records[key]?.suspectUntil = 0
    }

    /** Whether [key] is lost, or suspected to be. */
    fun isSuspect(key: TargetKey): Boolean = isLost(key) || (records[key]?.suspectUntil ?: 0) > clock.nowMs()

    /** Whether [key] is being taken apart. */
    fun isLost(key: TargetKey): Boolean = (records[key]?.lostUntil ?: 0) > clock.nowMs()

    /** Whether requests go elsewhere when they can. */
    fun isAvoided(key: TargetKey): Boolean {
        val record = records[key] ?: return false
        return maxOf(record.avoidUntil, record.suspectUntil, record.lostUntil) > clock.nowMs()
    }

    /** Forgets targets that are gone. */
    fun retain(present: (TargetKey) -> Boolean) {
        records.keys.removeIf { !present(it) }
        slow.retain(present)
    }

    private class Record {
        var failures = 0
        var avoidUntil = 0L
        var errorShare = 0.0
        var suspectUntil = 0L
        var lostUntil = 0L
    }

    private companion object {
        /** Weight of the newest answer in the share of failures. */
        const val ERROR_WEIGHT = 0.2

        /** Share of failures beyond what requests cause by themselves. */
        const val OFTEN_SHARE = 0.35

        /** Pause of a target that fails often, before it is tried again. */
        const val OFTEN_PAUSE_MS = 1_000L
        const val FIRST_PAUSE_MS = 250L
        const val MAX_DOUBLINGS = 4

        /** Covers the time in which the controller finds out; a replica that is sound is cleared sooner. */
        const val SUSPECT_MS = 800L

        /** Covers the time until the list shows that the replica is gone. */
        const val LOST_MS = 4_000L
    }
}

/** Replicas with a slow member that cannot be replaced now. Traffic thread only. */
class SlowTargets(
    private val clock: Clock,
) {
    private val until = HashMap<TargetKey, Long>()

    /** [key] was found slow just now. */
    fun mark(key: TargetKey) {
        until[key] = clock.nowMs() + SLOW_MS
    }

    /** Whether [key] works slowly. */
    operator fun contains(key: TargetKey): Boolean = (until[key] ?: 0) > clock.nowMs()

    /** Forgets targets that are gone. */
    fun retain(present: (TargetKey) -> Boolean) {
        until.keys.removeIf { !present(it) }
    }

    private companion object {
        /** Covers two of the controller's looks at a slow member. */
        const val SLOW_MS = 2_500L
    }
}
