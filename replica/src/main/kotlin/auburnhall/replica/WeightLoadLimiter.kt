/*
 * Spaces loads from the weight store: more at once only make each slower, and more in a second than the store allows
 * break its bound.
 */
package auburnhall.replica

import auburnhall.core.Clock

/** Counts loads that were begun. Control thread only. */
class WeightLoadLimiter(
    private val clock: Clock,
) {
    private val begun = ArrayDeque<Long>()

    /** Loads that may begin now, when [perSecond] are allowed. */
    fun room(perSecond: Double): Int {
        val start = clock.nowMs() - WINDOW_MS
        while (begun.firstOrNull()?.let { it < start } == true) begun.removeFirst()
        return (perSecond * WINDOW_MS / MS_PER_SECOND).toInt() - begun.size
    }

    /** A load begins. */
    fun begin() {
        begun.addLast(clock.nowMs())
    }

    private companion object {
        const val WINDOW_MS = 2_000L
        const val MS_PER_SECOND = 1_000
    }
}
