/*
 * A limit on calls a second.
 */
package auburnhall.standin.platform

import auburnhall.core.Clock

/** Allows [callsPerSecond], saved up for one second; 0 allows all. Not safe for use by several threads. */
internal class RateLimit(
    private val clock: Clock,
    private val callsPerSecond: Int,
) {
    private var allowance = callsPerSecond.toDouble()
    private var allowanceAt = clock.monotonicMillis()

    /** Tells whether one more call is within the rate, and counts it if so. */
    fun tryTake(): Boolean {
        if (callsPerSecond == 0) return true
        val now = clock.monotonicMillis()
        val earned = (now - allowanceAt) * callsPerSecond / MILLIS_PER_SECOND
        allowance = minOf(callsPerSecond.toDouble(), allowance + earned)
        allowanceAt = now
        val within = allowance >= 1
        if (within) allowance -= 1
        return within
    }

    private companion object {
        const val MILLIS_PER_SECOND = 1_000.0
    }
}
