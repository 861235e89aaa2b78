/*
 * Limits the rate at which weight loads from the weight store start: loads that run at the same time slow each other
 * down, and the store states a limit of loads started per second.
 */
package auburnhall.replica

import auburnhall.core.Clock

/** Counts the loads started within a sliding window. Control thread only. */
class WeightLoadLimiter(
    private val clock: Clock,
) {
    private val startTimesMs = ArrayDeque<Long>()

    /** Returns how many loads may start now at a limit of [perSecond]; negative when the limit is exceeded. */
    fun permits(perSecond: Double): Int {
        val windowStart = clock.nowMs() - WINDOW_MS
        while (startTimesMs.firstOrNull()?.let { it < windowStart } == true) startTimesMs.removeFirst()
        return (perSecond * WINDOW_MS / MS_PER_SECOND).toInt() - startTimesMs.size
    }

    /** A load starts now. */
    fun onLoadStarted() {
        startTimesMs.addLast(clock.nowMs())
    }

    private companion object {
        const val WINDOW_MS = 2_000L
        const val MS_PER_SECOND = 1_000
    }
}
