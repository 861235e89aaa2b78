/*
 * A bound on retries: when a large part of the fleet fails, retries must not multiply the load on the rest.
 */
package auburnhall.routing

import auburnhall.core.Clock

/** Decides whether one more retry may be made. Thread-safe. */
interface RetryBudget {
    /** A request that is not a retry succeeded. */
    fun onSuccess()

    /** Takes one retry out of the budget; false when there is none left. */
    fun tryRetry(): Boolean
}

/**
 * Returns a [RetryBudget] that allows [share] retries for each success and [floorPerSecond] retries a second besides,
 * saved up for at most ten seconds' worth of the floor.
 */
fun RetryBudget(
    clock: Clock,
    share: Double = RETRY_SHARE,
    floorPerSecond: Double = RETRY_FLOOR_PER_SECOND,
): RetryBudget = RealRetryBudget(clock, share, floorPerSecond)

internal const val RETRY_SHARE = 0.1
internal const val RETRY_FLOOR_PER_SECOND = 2.0

internal class RealRetryBudget(
    private val clock: Clock,
    private val share: Double,
    private val floorPerSecond: Double,
) : RetryBudget {
    private val most = floorPerSecond * SAVED_SECONDS
    private var saved = most
    private var filledAt = clock.monotonicMillis()

    @Synchronized
    override fun onSuccess() {
        saved = (saved + share).coerceAtMost(most)
    }

    @Synchronized
    override fun tryRetry(): Boolean {
        val now = clock.monotonicMillis()
        saved = (saved + (now - filledAt) * floorPerSecond / MILLIS_PER_SECOND).coerceAtMost(most)
        filledAt = now
        if (saved < 1) return false
        saved -= 1
        return true
    }

    private companion object {
        const val SAVED_SECONDS = 10
        const val MILLIS_PER_SECOND = 1_000.0
    }
}
