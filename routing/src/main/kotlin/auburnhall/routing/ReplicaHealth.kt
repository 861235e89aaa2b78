/*
 * Which replicas to avoid because of what this process saw of them: failures eject a replica for a while, and a replica
 * that comes back gets only a part of its requests at first.
 */
package auburnhall.routing

import auburnhall.core.Deadline
import auburnhall.core.ReplicaId
import kotlin.random.Random

/** Failures and speed of replicas as seen by this process. Not thread-safe. */
class ReplicaHealth(
    private val random: Random,
) {
    private class Entry {
        var failures = 0
        var ejectedUntil = Deadline.PASSED
        var wholeAgainAt = Deadline.PASSED
        var speed = 0.0
    }

    private val entries = HashMap<ReplicaId, Entry>()

    /** A request at [replica] failed at [nowMillis]: ejects the replica, for longer with each failure in a row. */
    fun onFailure(
        replica: ReplicaId,
        nowMillis: Long,
    ) {
        val entry = entries.getOrPut(replica) { Entry() }
        val longest = (EJECTION_MILLIS shl entry.failures).coerceAtMost(MAX_EJECTION_MILLIS)
        val ejection = longest / 2 + random.nextLong(longest / 2)
        entry.failures = (entry.failures + 1).coerceAtMost(MAX_FAILURES)
        entry.ejectedUntil = Deadline(nowMillis + ejection)
        entry.wholeAgainAt = Deadline(nowMillis + ejection + RETURN_MILLIS)
    }

    /** A request at [replica] came to its end with [tokensPerSecond]; 0 when too short to tell. */
    fun onSuccess(
        replica: ReplicaId,
        tokensPerSecond: Double,
    ) {
        val entry = entries.getOrPut(replica) { Entry() }
        entry.failures = 0
        if (tokensPerSecond <= 0) return
        entry.speed =
            if (entry.speed == 0.0) tokensPerSecond else entry.speed + SMOOTHING * (tokensPerSecond - entry.speed)
    }

    /** Tells whether [replica] is to get no request at [nowMillis]. */
    fun isEjected(
        replica: ReplicaId,
        nowMillis: Long,
    ): Boolean = entries[replica]?.ejectedUntil?.hasPassed(nowMillis) == false

    /** Part of its places that [replica] is given at [nowMillis], above 0 and up to 1. */
    fun share(
        replica: ReplicaId,
        nowMillis: Long,
    ): Double {
        val whole = entries[replica]?.wholeAgainAt ?: Deadline.PASSED
        if (whole.hasPassed(nowMillis)) return 1.0
        return (1.0 - whole.remainingMillis(nowMillis).toDouble() / RETURN_MILLIS).coerceIn(LEAST_SHARE, 1.0)
    }

    /** Generation speed of one request in tokens a second, as seen lately; 0 when nothing was seen. */
    fun speed(replica: ReplicaId): Double = entries[replica]?.speed ?: 0.0

    /** Forgets all replicas but [live]. */
    fun retain(live: Set<ReplicaId>) {
        entries.keys.retainAll(live)
    }

    private companion object {
        const val EJECTION_MILLIS = 1_000L
        const val MAX_EJECTION_MILLIS = 32_000L
        const val MAX_FAILURES = 5
        const val RETURN_MILLIS = 10_000L
        const val LEAST_SHARE = 0.1
        const val SMOOTHING = 0.2
    }
}
