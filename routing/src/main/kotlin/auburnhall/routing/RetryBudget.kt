/*
 * Bounds second tries, so that a failing fleet does not get a multiple of its load. The platform states one bound for
 * all processes over a sliding window; each process keeps to its part.
 */
package auburnhall.routing

import auburnhall.core.Clock

/** The bound over all processes: in any window, [ratio] of the requests and [extraRetries] more. */
data class RetryBounds(
    val ratio: Double,
    val windowMs: Long,
    val extraRetries: Int,
)

/** The part of one process in [bounds], for one service. Traffic thread only. */
class RetryBudget(
    private val clock: Clock,
    private val bounds: () -> RetryBounds,
    private val processes: () -> Int,
) {
    private val requests = ArrayDeque<Long>()
    private val retries = ArrayDeque<Long>()

    /** A request for the service was received. */
    fun onRequest() {
        forget()
        requests.addLast(clock.nowMs())
    }

    /** Takes one retry out of the budget; false when there is none left. */
    fun tryAcquire(): Boolean {
        forget()
        val bound = bounds()
        val share = bound.extraRetries * SAFE_SHARE / processes().coerceAtLeast(1)
        val allowed = bound.ratio * SAFE_SHARE * requests.size + share
        if (retries.size + 1 > allowed) return false
        retries.addLast(clock.nowMs())
        return true
    }

    private fun forget() {
        val start = clock.nowMs() - bounds().windowMs
        while (requests.firstOrNull()?.let { it < start } == true) requests.removeFirst()
        while (retries.firstOrNull()?.let { it < start } == true) retries.removeFirst()
    }

    private companion object {
        /** Leaves room for processes that restart with an empty count. */
        const val SAFE_SHARE = 0.8
    }
}
