/*
 * How much work each target has: our own requests at once, those of the other processes as they last told.
 */
package auburnhall.routing

import auburnhall.core.Clock

/** Requests in progress by target. Used on the traffic thread only. */
class LoadBook(
    private val clock: Clock,
) {
    private val own = HashMap<TargetKey, Int>()
    private val told = HashMap<String, ToldLoad>()

    /** Our requests in progress, by target; targets without any are left out. */
    fun own(): Map<TargetKey, Int> = own

    /** A request was sent to [key]. */
    fun begin(key: TargetKey) {
        own.merge(key, 1, Int::plus)
    }

    /** A request at [key] ended. */
    fun end(key: TargetKey) {
        own.computeIfPresent(key) { _, count -> (count - 1).takeIf { it > 0 } }
    }

    /** The process [peer] has [counts] requests in progress, by the hash of the target's key. */
    fun onTold(
        peer: String,
        counts: Map<Int, Int>,
    ) {
        told[peer] = ToldLoad(counts, clock.nowMs() + TOLD_VALID_MS)
    }

    /** Requests in progress at [key], over all processes that told lately. */
    fun total(key: TargetKey): Int {
        val now = clock.nowMs()
        val hash = key.text.hashCode()
        val others = told.values.sumOf { if (it.validUntil > now) it.counts[hash] ?: 0 else 0 }
        return (own[key] ?: 0) + others
    }

    private class ToldLoad(
        val counts: Map<Int, Int>,
        val validUntil: Long,
    )

    private companion object {
        /** A few of the periods in which processes tell their load. */
        const val TOLD_VALID_MS = 1_500L
    }
}
