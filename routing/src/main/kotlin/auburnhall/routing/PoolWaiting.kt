/*
 * The requests that wait for a free slot, by the targets that can serve them and by rank. Each process sees only a
 * small part of them, so its decisions need those of the others.
 */
package auburnhall.routing

/** The targets that serve the same requests: those of a plain service, or of one model of a service. */
data class TargetPool(
    val service: String,
    /** Null for a plain service. */
    val model: String?,
)

/** Counts waiting requests. Traffic thread only. */
class PoolWaiting {
    private val own = HashMap<TargetPool, Map<Int, Int>>()

    /** Replaces the waiting requests of this process for [pool] by [byRank]; lower ranks are served first. */
    fun onOwn(
        pool: TargetPool,
        byRank: Map<Int, Int>,
    ) {
        if (byRank.isEmpty()) own.remove(pool) else own[pool] = byRank
    }

    /** Number of waiting requests for [pool] that are served before those of [rank], over all processes. */
    fun ahead(
        pool: TargetPool,
        rank: Int,
    ): Int = own[pool].orEmpty().entries.sumOf { if (it.key < rank) it.value else 0 }

    /** Number of all waiting requests for [pool], over all processes. */
    fun total(pool: TargetPool): Int = own[pool].orEmpty().values.sum()
}
