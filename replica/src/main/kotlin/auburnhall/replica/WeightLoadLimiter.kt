/*
 * Limits the rate at which weight loads from the weight store start: loads that run at the same time slow each other
 * down, and the store states a limit of loads started per second, which it enforces over 5 s.
 */
package auburnhall.replica

import auburnhall.core.Clock

/** Counts the loads started within sliding windows. Control thread only. */
class WeightLoadLimiter(
    private val clock: Clock,
    /** Whether a previous controller may have started loads just before, which are not known here. */
    private val tookOver: Boolean,
) {
    private val startedAtMs = clock.nowMs()
    private val startTimesMs = ArrayDeque<Long>()

    /** Returns how many loads may start now at a limit of [perSecond]; negative when the limit is exceeded. */
    fun permits(perSecond: Double): Int {
        while (startTimesMs.firstOrNull()?.let { it < clock.nowMs() - LONG_WINDOW_MS } == true) {
            startTimesMs.removeFirst()
        }
        return minOf(permits(perSecond, SHORT_WINDOW_MS), permits(perSecond, LONG_WINDOW_MS))
    }

    /** A load starts now. */
    fun onLoadStarted() {
        startTimesMs.addLast(clock.nowMs())
    }

    private fun permits(
        perSecond: Double,
        windowMs: Long,
    ): Int {
        val now = clock.nowMs()
        val knownMs = if (tookOver) minOf(windowMs, now - startedAtMs) else windowMs
        return (perSecond * knownMs / MS_PER_SECOND).toInt() - startTimesMs.count { it >= now - windowMs }
    }

    private companion object {
        /** Spreads loads, so that those of a later shortage need not wait for the end of the long window. */
        const val SHORT_WINDOW_MS = 2_000L

        /** The window over which the store enforces its limit. */
        const val LONG_WINDOW_MS = 5_000L
        const val MS_PER_SECOND = 1_000
    }
}
