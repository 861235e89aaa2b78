/*
 * Limits how often the processes together ask a store that does not answer. Each process draws the times of its turns
 * at random around a mean that its caller derives from the number of processes, so that no message between them is
 * needed. Meant for hundreds of processes whose state becomes too old in the same second.
 */
package auburnhall.entry

import auburnhall.core.Clock
import kotlin.random.Random

/** The turns of this process. Control thread only. */
class StoreTurns(
    private val clock: Clock,
    private val random: Random,
) {
    private var sinceMs: Long? = null
    private var factor = 0.0

    /** Whether a turn has been drawn since [clear]. */
    val begun: Boolean get() = sinceMs != null

    /** The state became too old; the first turn is due now or, if [spread], within the mean time between turns. */
    fun begin(spread: Boolean) = draw(if (spread) random.nextDouble() else 0.0)

    /** A turn was used; the next one is due after half to one and a half times the mean time between turns. */
    fun onUsed() = draw(HALF + random.nextDouble())

    /** The state is recent. */
    fun clear() {
        sinceMs = null
    }

    /** Time, in milliseconds, until the next turn; 0 when it is due. [meanMs] is the present mean between turns. */
    fun dueInMs(meanMs: Long): Long {
        val since = sinceMs ?: return 0
        return maxOf(0, since + (factor * meanMs).toLong() - clock.nowMs())
    }

    private fun draw(newFactor: Double) {
        sinceMs = clock.nowMs()
        factor = newFactor
    }

    companion object {
        /** Mean time between the turns of two processes of a level of the relay tree. */
        const val SPACING_MS = 100L
        private const val HALF = 0.5
    }
}
