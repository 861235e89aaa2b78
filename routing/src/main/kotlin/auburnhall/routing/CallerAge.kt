/*
 * How long ago a caller sent a request for the first time. A caller that returns after a refusal, or after it found no
 * process, has waited before, so that a request may be late when it arrives. It states only how much time it has left.
 * What callers of a route have at first is the timeout of the route, unless all of them state less.
 */
package auburnhall.routing

import auburnhall.core.Clock

/** Estimates the age of requests by route. Traffic thread only. */
class CallerAge(
    private val clock: Clock,
) {
    private val byRoute = HashMap<String, Longest>()

    /**
     * Time, in milliseconds, since the caller of a request that arrives now on [route] sent it first, if it has
     * [timeLeftMs] of [timeoutMs] left; 0 if it states no time.
     */
    fun onRequest(
        route: String,
        timeoutMs: Long,
        timeLeftMs: Long?,
    ): Long {
        if (timeLeftMs == null) return 0
        val longest = byRoute.getOrPut(route) { Longest(clock.nowMs()) }
        longest.add(timeLeftMs, clock.nowMs())
        return (minOf(timeoutMs, longest.firstTimeMs ?: timeoutMs) - timeLeftMs).coerceAtLeast(0)
    }

    /** The longest time that callers stated in the current period and in the one before. */
    private class Longest(
        private var sinceMs: Long,
    ) {
        private var current = 0L
        private var previous = 0L
        private var count = 0

        /** The time that callers have at first; null until enough requests are known. */
        val firstTimeMs: Long? get() = if (count >= MIN_REQUESTS) maxOf(current, previous) else null

        fun add(
            timeLeftMs: Long,
            now: Long,
        ) {
            if (now - sinceMs >= PERIOD_MS) {
                previous = current
                current = 0
                sinceMs = now
            }
            current = maxOf(current, timeLeftMs)
            count++
        }
    }

    private companion object {
        /** Longer than the time after which refused callers return, so that one that is new is among those known. */
        const val PERIOD_MS = 10_000L

        /** Requests from which on one of them is likely to have been sent for the first time. */
        const val MIN_REQUESTS = 20
    }
}
