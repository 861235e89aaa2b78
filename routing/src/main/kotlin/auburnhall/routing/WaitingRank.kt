/*
 * The order in which waiting requests are served. Answers a demand above what the targets can serve: a request that can
 * still be on time loses more by waiting than one that is late already, also if its priority is lower.
 */
package auburnhall.routing

/** Rank of a waiting request; the smallest one is served first. */
data class WaitingRank(
    /** Whether the latency target of its route has been missed already. */
    val late: Boolean,
    /** 0 is served first. */
    val priority: Int,
    /** Whether its caller was refused before, or found no process, and has returned. */
    val returned: Boolean,
    /** When its caller sent it for the first time, in milliseconds of the monotonic clock. */
    val firstSentAtMs: Long,
) : Comparable<WaitingRank> {
    override fun compareTo(other: WaitingRank): Int = ORDER.compare(this, other)

    private companion object {
        val ORDER =
            compareBy<WaitingRank>({ it.late }, { it.priority }, { !it.returned }, { it.firstSentAtMs })
    }
}
