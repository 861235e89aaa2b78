/*
 * Whether the store answers this process, and how soon it is asked again when it does not.
 */
package auburnhall.entry

import auburnhall.core.StoreError
import auburnhall.core.log

/** Follows the answers of the store. Control thread only. */
class StoreAvailability(
    private val context: ControlContext,
) {
    private var failures = 0
    private var lostAt: Long? = null
    private var regainedAt: Long? = null

    /** Whether the last call failed. */
    val lost: Boolean get() = lostAt != null

    /** Whether the store was lately away, so that leases may have lapsed without a cause of their own. */
    val wasAway: Boolean get() = lost || regainedAt?.let { context.clock.nowMs() - it < LAPSE_MS } == true

    /** The store answered. */
    fun onAnswer() {
        failures = 0
        val since = lostAt ?: return
        val now = context.clock.nowMs()
        lostAt = null
        regainedAt = now
        context.events.log("store.regained", "after_ms" to now - since)
    }

    /** A call failed with [error]; [again] runs after a pause that grows. */
    fun onError(
        error: StoreError,
        again: () -> Unit,
    ) {
        if (lostAt == null) {
            lostAt = context.clock.nowMs()
            context.events.log("store.lost", "error" to error)
        }
        val pause = FIRST_PAUSE_MS shl failures.coerceAtMost(MAX_DOUBLINGS)
        failures++
        context.scheduler.after(pause + context.random.nextLong(pause)) { again() }
    }

    private companion object {
        const val FIRST_PAUSE_MS = 50L
        const val MAX_DOUBLINGS = 3

        /** Time after the store is back in which its leases may still lapse, in milliseconds. */
        const val LAPSE_MS = 2_500L
    }
}
