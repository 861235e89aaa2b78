/*
 * Keeps free slots for requests that can still be on time. Answers a backlog of requests that are late already, as
 * after the loss of all processes or replicas: if each process sent its late requests as soon as a slot looks free,
 * they would fill every slot, and all that arrive behind them would be late as well. A late request is worth less to
 * its caller, and loses less by waiting. So the processes share, for late requests, only the slots that the requests on
 * time leave, and each takes its part of them in the time in which it learns what the others have taken.
 */
package auburnhall.routing

import auburnhall.core.Clock
import kotlin.math.sqrt
import kotlin.random.Random

/** Decides whether late requests may take a free slot. Traffic thread only. */
class SlotReserve(
    private val clock: Clock,
    private val load: LoadTracker,
    private val unreported: UnreportedRequests,
    private val random: Random,
) {
    private val byServed = HashMap<String, Credit>()
    private val startEndsAtMs = clock.nowMs() + START_MS

    /** Takes a free slot of [targets], which serve the same, for a late request; false if none is left for it. */
    fun tryTake(targets: List<Target>): Boolean {
        val now = clock.nowMs()
        val share = minOf(surplus(targets), limitAtStart(targets, now)) / unreported.processCount
        val credit = byServed.getOrPut(targets.first().served) { Credit(random.nextDouble(), now) }
        credit.advance(now, share)
        if (credit.requests < 1) return false
        credit.requests -= 1
        return true
    }

    /** Free slots of [targets] that no request on time is likely to need before they are reported as taken. */
    private fun surplus(targets: List<Target>): Double {
        val own = targets.sumOf { load.own(it.key).requests }
        // A process that has just started knows only its own requests; the others are thought to have as many each.
        val inProgress =
            if (load.knowsOthers) targets.sumOf { load.total(it.key).requests } else own * unreported.processCount
        val expected = unreported.expected(targets.first().served, inProgress)
        val free = targets.sumOf { it.slots } - inProgress
        return (free - expected - sqrt(expected)).coerceAtLeast(0.0)
    }

    /**
     * Late requests of all processes in [REPORT_AGE_MS]. After the loss of all processes no slot becomes free for about
     * as long as a request takes, and the requests on time that will come are not known.
     */
    private fun limitAtStart(
        targets: List<Target>,
        now: Long,
    ): Double {
        if (now >= startEndsAtMs) return Double.MAX_VALUE
        val perMs = targets.sumOf { it.slots } / unreported.meanDurationMs(targets.first().served)
        return perMs * REPORT_AGE_MS * LATE_SHARE_AT_START
    }

    /** Number of late requests that this process may send. */
    private class Credit(
        var requests: Double,
        private var atMs: Long,
    ) {
        /** Adds what has come since, at [share] requests each [REPORT_AGE_MS]. */
        fun advance(
            now: Long,
            share: Double,
        ) {
            val gained = share * (now - atMs) / REPORT_AGE_MS
            requests = (requests + gained).coerceAtMost(maxOf(1.0, share))
            atMs = now
        }
    }

    companion object {
        /** Time after the start of this process in which late requests take only [LATE_SHARE_AT_START] of the slots. */
        const val START_MS = 2_000L

        /** Time until a process knows the requests of the others. */
        private const val REPORT_AGE_MS = 150.0
        private const val LATE_SHARE_AT_START = 0.25
    }
}
