/*
 * The requests that wait for a free slot, by the targets that can serve them and by rank. Each process sees only a
 * small part of them, so its decisions need those of the others.
 */
package auburnhall.routing

import auburnhall.core.Clock

/** The targets that serve the same requests: those of a plain service, or of one model of a service. */
data class TargetPool(
    val service: String,
    /** Null for a plain service. */
    val model: String?,
) {
    /** Identifies the pool in messages between the processes. */
    val hash: Int get() = "$service/${model.orEmpty()}".hashCode()
}

/** Number of waiting requests by rank, by the hash of their pool. */
typealias WaitingByPool = Map<Int, Map<Int, Int>>

/** The sum of the waiting requests of [parts]. */
internal fun sumWaiting(parts: List<WaitingByPool>): WaitingByPool {
    val sum = HashMap<Int, HashMap<Int, Int>>()
    parts.forEach { part ->
        part.forEach { (pool, byRank) ->
            val into = sum.getOrPut(pool) { HashMap() }
            byRank.forEach { (rank, count) -> into.merge(rank, count, Int::plus) }
        }
    }
    return sum
}

/** Counts waiting requests. Traffic thread only. */
class PoolWaiting(
    private val clock: Clock = Clock.SYSTEM,
) {
    private val ownByPool = HashMap<Int, Map<Int, Int>>()
    private var lastReported: WaitingByPool = emptyMap()
    private var total: WaitingByPool = emptyMap()
    private var totalValidUntilMs = Long.MIN_VALUE

    /** Called when the waiting requests of this process have changed. */
    var onOwnChange: () -> Unit = {}

    /** The waiting requests of this process. */
    val own: WaitingByPool get() = ownByPool.toMap()

    /** Whether requests of this process wait for [pool]. */
    fun hasOwn(pool: TargetPool): Boolean = pool.hash in ownByPool

    /** Replaces the waiting requests of this process for [pool] by [byRank]; lower ranks are served first. */
    fun onOwn(
        pool: TargetPool,
        byRank: Map<Int, Int>,
    ) {
        val before = if (byRank.isEmpty()) ownByPool.remove(pool.hash) else ownByPool.put(pool.hash, byRank)
        if (before.orEmpty() != byRank) onOwnChange()
    }

    /** This process reported [waiting], which the next totals include. */
    fun onReportSent(waiting: WaitingByPool) {
        lastReported = waiting
    }

    /** The collector reported [waiting] as the total of all processes, this one as it last reported. */
    fun onTotal(waiting: WaitingByPool) {
        total = waiting
        totalValidUntilMs = clock.nowMs() + ReceivedLoad.VALID_MS
    }

    /** Number of waiting requests for [pool] that are served before those of [rank], over all processes. */
    fun ahead(
        pool: TargetPool,
        rank: Int,
    ): Int = count(pool) { it < rank }

    /** Number of all waiting requests for [pool], over all processes. */
    fun total(pool: TargetPool): Int = count(pool) { true }

    private fun count(
        pool: TargetPool,
        counts: (Int) -> Boolean,
    ): Int {
        val sum = { waiting: WaitingByPool ->
            waiting[pool.hash].orEmpty().entries.sumOf { if (counts(it.key)) it.value else 0 }
        }
        val others = if (clock.nowMs() < totalValidUntilMs) sum(total) - sum(lastReported) else 0
        return sum(ownByPool) + others.coerceAtLeast(0)
    }
}
