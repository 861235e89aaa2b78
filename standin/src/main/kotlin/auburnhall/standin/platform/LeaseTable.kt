/*
 * The leases of the key-value service.
 */
package auburnhall.standin.platform

import auburnhall.core.Clock
import auburnhall.core.Deadline
import auburnhall.core.deadlineIn

/** The leases on keys of [state]. Not safe for use by several threads; [KeyValueServer] holds a lock. */
class LeaseTable(
    private val clock: Clock,
    private val state: KeyValueState,
) {
    private data class HeldLease(
        val ttlSeconds: Long,
        val until: Deadline,
    )

    private val leases = HashMap<Long, HeldLease>()
    private var lastLease = 0L

    operator fun contains(lease: Long): Boolean = lease in leases

    /** Returns the identifier of a new lease. */
    fun grant(ttlSeconds: Long): Long {
        lastLease += 1
        hold(lastLease, ttlSeconds)
        return lastLease
    }

    /** Returns the time to live in seconds, 0 when [lease] is not known. */
    fun renew(lease: Long): Long {
        val ttl = leases[lease]?.ttlSeconds ?: return 0
        hold(lease, ttl)
        return ttl
    }

    /** Deletes [lease] and its keys; returns false when it is not known. */
    fun revoke(lease: Long): Boolean {
        leases.remove(lease) ?: return false
        state.deleteOfLease(lease)
        return true
    }

    /** Deletes the leases whose time is up, with their keys. */
    fun expire() {
        val now = clock.monotonicMillis()
        val over = leases.filterValues { it.until.hasPassed(now) }.keys
        over.toList().forEach { revoke(it) }
    }

    private fun hold(
        lease: Long,
        ttlSeconds: Long,
    ) {
        leases[lease] = HeldLease(ttlSeconds, clock.deadlineIn(ttlSeconds * MILLIS_PER_SECOND))
    }

    private companion object {
        const val MILLIS_PER_SECOND = 1_000L
    }
}
