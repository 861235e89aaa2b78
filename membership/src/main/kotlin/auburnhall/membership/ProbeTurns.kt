/*
 * Whom to send the next heartbeats to.
 */
package auburnhall.membership

import auburnhall.core.ProcessId
import kotlin.random.Random

/** Gives every peer a turn, in random order, before one has a second. Used on the control thread only. */
internal class ProbeTurns(
    private val random: Random,
) {
    private var order = emptyList<ProcessId>()

    /** The next [PROBES] of [peers], or fewer. */
    fun next(peers: List<Member>): List<ProcessId> {
        val present = peers.map { it.process }.toSet()
        if (order.none { it in present }) order = present.shuffled(random)
        val turn = order.filter { it in present }.take(PROBES)
        order = order.drop(order.indexOf(turn.lastOrNull()) + 1)
        return turn
    }

    internal companion object {
        const val PROBES = 4
    }
}
