/*
 * Tracks whether the store answers this process, and whether it had an outage, in which live workers cannot renew their
 * entries. A failed request is no outage: a watch may be cut, and the store may turn away this process only. It was one
 * if no process had an answer for so long that entries can expire. Retries failed requests with exponential backoff.
 */
package auburnhall.entry

import auburnhall.core.StoreError
import auburnhall.core.log

/** Tracks the outcome of requests to the store. Control thread only. */
class StoreAvailability(
    private val context: ControlContext,
    private val sightings: StoreSightings,
) {
    private var failures = 0
    private var lostAtMs: Long? = null
    private var failedAtMs = 0L

    /** The last answer to any process before a request of this one failed; null once the store has answered since. */
    private var unansweredSinceMs: Long? = null
    private var outageEndedAtMs: Long? = null

    /** Whether the last request of this process failed. */
    val lost: Boolean get() = lostAtMs != null

    /**
     * Until when entries of live workers and processes may be missing since the store had an outage, in milliseconds of
     * the monotonic clock; null if none may be.
     */
    fun expiryUntilMs(): Long? {
        update()
        val now = context.clock.nowMs()
        val inOutage = unansweredSinceMs?.let { now - it >= MIN_OUTAGE_MS } == true
        val untilMs = if (inOutage) now + EXPIRY_MS else outageEndedAtMs?.plus(EXPIRY_MS)
        return untilMs?.takeIf { it > now }
    }

    /** A request succeeded. */
    fun onAnswer() {
        val now = context.clock.nowMs()
        failures = 0
        sightings.onSeen(now)
        update()
        lostAtMs?.let { context.events.log("store.regained", "after_ms" to now - it) }
        lostAtMs = null
    }

    /** Another process has the store's changes and knows of no outage: only this process's own request failed. */
    fun onAvailableToOthers() {
        val lostSinceMs = lostAtMs ?: return
        lostAtMs = null
        context.events.log("store.available_to_others", "after_ms" to context.clock.nowMs() - lostSinceMs)
    }

    /** The store was restored: entries that the copy lacks are written again, or expire, as after an outage. */
    fun onRestored() {
        outageEndedAtMs = context.clock.nowMs()
    }

    /** A request failed with [error]; calls [retry] after the backoff. */
    fun onError(
        error: StoreError,
        retry: () -> Unit,
    ) {
        update()
        val now = context.clock.nowMs()
        failedAtMs = now
        if (unansweredSinceMs == null) unansweredSinceMs = lastAnswerBefore(error, now)
        if (lostAtMs == null) {
            lostAtMs = now
            context.events.log("store.lost", "error" to error)
        }
        val backoffMs = FIRST_BACKOFF_MS shl failures.coerceAtMost(MAX_BACKOFF_DOUBLINGS)
        failures++
        context.scheduler.after(backoffMs + context.random.nextLong(backoffMs)) { retry() }
    }

    /** Takes into account what other processes have seen; call at intervals well below [MIN_OUTAGE_MS]. */
    fun update() {
        val since = unansweredSinceMs ?: return
        val seen = sightings.lastMs ?: return
        unansweredSinceMs = if (seen <= failedAtMs) maxOf(since, seen) else null
        if (seen > failedAtMs && seen - since >= MIN_OUTAGE_MS) {
            outageEndedAtMs = seen
            context.events.log("store.outage_ended", "after_ms" to seen - since)
        }
    }

    /** What closes a connection was there until then; anything else may have gone on for longer. */
    private fun lastAnswerBefore(
        error: StoreError,
        now: Long,
    ): Long {
        val closed = error is StoreError.NoAnswer && error.closedByPeer
        return if (closed) now else sightings.lastMs ?: now
    }

    private companion object {
        const val FIRST_BACKOFF_MS = 50L
        const val MAX_BACKOFF_DOUBLINGS = 3

        /** Workers renew entries every 1.2 s; a shorter outage lets none miss the three times that end an entry. */
        const val MIN_OUTAGE_MS = 1_000L

        /** Time after the store is available again in which leases that were not renewed may still expire. */
        const val EXPIRY_MS = 2_500L
    }
}
