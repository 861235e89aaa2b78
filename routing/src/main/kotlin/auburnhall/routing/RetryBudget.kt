/*
 * Limits retries, so that a failing fleet does not receive a multiple of its load. The platform sets one limit for all
 * processes over a sliding window; each process keeps to its share.
 */
package auburnhall.routing

import auburnhall.core.Clock

/** The retry limit over all processes: in any window, [ratio] times the requests, and [extraRetries] more. */
data class RetryBounds(
    val ratio: Double,
    val windowMs: Long,
    val extraRetries: Int,
)

/** The share of one process in [bounds], for one service. Traffic thread only. */
class RetryBudget(
    private val clock: Clock,
    private val bounds: () -> RetryBounds,
    private val processCount: () -> Int,
) {
    private val requestTimesMs = ArrayDeque<Long>()
    private val retryTimesMs = ArrayDeque<Long>()

    /** A request for the service was received. */
    fun onRequest() {
        removeExpired()
        requestTimesMs.addLast(clock.nowMs())
    }

    /** Takes one retry out of the budget; false if [share] of the budget, 0 to 1, is used up. */
    fun tryAcquire(share: Double = 1.0): Boolean {
        removeExpired()
        val bound = bounds()
        val extraShare = bound.extraRetries * USED_SHARE / processCount().coerceAtLeast(1)
        val allowed = bound.ratio * USED_SHARE * requestTimesMs.size + extraShare
        if (retryTimesMs.size + 1 > allowed * share) return false
        retryTimesMs.addLast(clock.nowMs())
        return true
    }

    private fun removeExpired() {
        val start = clock.nowMs() - bounds().windowMs
        while (requestTimesMs.firstOrNull()?.let { it < start } == true) requestTimesMs.removeFirst()
        while (retryTimesMs.firstOrNull()?.let { it < start } == true) retryTimesMs.removeFirst()
    }

    private companion object {
        /** Share of the limit that is used; the rest is left for processes that restart with an empty count. */
        const val USED_SHARE = 0.8
    }
}
