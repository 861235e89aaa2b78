/*
 * Spreads requests over targets when many processes choose at the same time, by load reports that are somewhat old. If
 * each chose the least loaded target, all of them would choose the same one until its next report, and its requests
 * would wait for each other's prompts. Instead, the requests that all processes are expected to send meanwhile are
 * thought to fill the targets up to a common level, and each process chooses a target with a probability in proportion
 * to what it lacks to that level. With one process, or fresh reports, this is the least loaded target.
 */
package auburnhall.routing

import kotlin.random.Random

/**
 * Targets by index: [loads] in requests, [slots] as many as each can have in progress. Of targets that lack the same,
 * one with twice the [preference] is chosen twice as often.
 */
internal class FillLevel(
    private val loads: DoubleArray,
    private val slots: IntArray,
    private val preference: DoubleArray = DoubleArray(loads.size) { 1.0 },
) {
    /** Chooses among [candidates] while the others send [arriving] requests; [candidates] must not be empty. */
    fun choose(
        candidates: IntArray,
        arriving: Double,
        random: Random,
    ): Int {
        val level = level(candidates, arriving + TIE_BREAK)
        var remaining = random.nextDouble() * candidates.sumOf { room(it, level) * preference[it] }
        for (index in candidates) {
            remaining -= room(index, level) * preference[index]
            if (remaining < 0) return index
        }
        return candidates.minBy { loads[it] / slots[it] }
    }

    private fun room(
        index: Int,
        level: Double,
    ) = (level * slots[index] - loads[index]).coerceAtLeast(0.0)

    /** The load per slot up to which [arriving] requests fill [candidates], leaving out those that are above it. */
    private fun level(
        candidates: IntArray,
        arriving: Double,
    ): Double {
        var level = Double.MAX_VALUE
        while (true) {
            var load = arriving
            var slotsBelow = 0
            for (index in candidates) {
                if (loads[index] < level * slots[index]) {
                    load += loads[index]
                    slotsBelow += slots[index]
                }
            }
            val next = load / slotsBelow
            if (next >= level) return level
            level = next
        }
    }

    private companion object {
        /** Requests, besides those of others, over which equal targets share; keeps equal choices from repeating. */
        const val TIE_BREAK = 0.9
    }
}
