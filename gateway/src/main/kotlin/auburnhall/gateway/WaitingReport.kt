/*
 * Passes the numbers of waiting requests on, so that the other processes learn of them. The requests are not ranked
 * yet.
 */
package auburnhall.gateway

import auburnhall.routing.PoolWaiting
import auburnhall.routing.TargetPool

/** Keeps [waiting] up to date. Traffic thread only. */
internal class WaitingReport(
    private val waiting: PoolWaiting,
) {
    private var reported: Set<TargetPool> = emptySet()

    /** Reports [counts], the waiting requests of all pools that have any. */
    fun report(counts: Map<TargetPool, Int>) {
        (reported - counts.keys).forEach { waiting.onOwn(it, emptyMap()) }
        counts.forEach { (pool, count) -> waiting.onOwn(pool, mapOf(0 to count)) }
        reported = counts.keys
    }
}
