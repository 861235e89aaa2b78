/*
 * Tracks whether the store is available to this process, and retries failed requests with exponential backoff.
 */
package auburnhall.entry

import auburnhall.core.StoreError
import auburnhall.core.log

/** Tracks the outcome of requests to the store. Control thread only. */
class StoreAvailability(
    private val context: ControlContext,
) {
    private var failures = 0
    private var lostAtMs: Long? = null
    private var regainedAtMs: Long? = null

    /** Whether the last request failed. */
    val lost: Boolean get() = lostAtMs != null

    /** Whether the store is or recently was unavailable, so that leases of live workers and processes may expire. */
    val wasUnavailable: Boolean get() = lost || regainedAtMs?.let { context.clock.nowMs() - it < EXPIRY_MS } == true

    /** A request succeeded. */
    fun onAnswer() {
        failures = 0
        val lostSinceMs = lostAtMs ?: return
        val now = context.clock.nowMs()
        lostAtMs = null
        regainedAtMs = now
        context.events.log("store.regained", "after_ms" to now - lostSinceMs)
    }

    /** Another process has the store's changes and knows of no outage: only this process's own request failed. */
    fun onAvailableToOthers() {
        val lostSinceMs = lostAtMs ?: return
        lostAtMs = null
        context.events.log("store.available_to_others", "after_ms" to context.clock.nowMs() - lostSinceMs)
    }

    /** The store was restored: entries that the copy lacks are written again, or expire, as after an outage. */
    fun onRestored() {
        regainedAtMs = context.clock.nowMs()
    }

    /** A request failed with [error]; calls [retry] after the backoff. */
    fun onError(
        error: StoreError,
        retry: () -> Unit,
    ) {
        if (lostAtMs == null) {
            lostAtMs = context.clock.nowMs()
            context.events.log("store.lost", "error" to error)
        }
        val backoffMs = FIRST_BACKOFF_MS shl failures.coerceAtMost(MAX_BACKOFF_DOUBLINGS)
        failures++
        context.scheduler.after(backoffMs + context.random.nextLong(backoffMs)) { retry() }
    }

    private companion object {
        const val FIRST_BACKOFF_MS = 50L
        const val MAX_BACKOFF_DOUBLINGS = 3

        /** Time after the store is available again in which leases that were not renewed may still expire. */
        const val EXPIRY_MS = 2_500L
    }
}
