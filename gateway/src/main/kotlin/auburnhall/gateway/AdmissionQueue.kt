/*
 * Requests that wait until a target has a place, and the order in which they get one.
 */
package auburnhall.gateway

import auburnhall.core.Clock

/** Targets that serve the same requests: a plain service, or a model of a service. */
data class TargetPool(
    val service: String,
    val model: String?,
)

/** The requests that wait, by pool. Traffic thread only. */
class AdmissionQueue(
    private val clock: Clock,
) {
    private val pools = HashMap<TargetPool, ArrayList<ForwardedRequest>>()
    private val sent = HashMap<TargetPool, ArrayDeque<Long>>()

    val size: Int get() = pools.values.sumOf { it.size }

    /** Lets [request] wait. */
    fun add(request: ForwardedRequest) {
        pools.getOrPut(request.pool) { ArrayList() }.add(request)
    }

    /** Takes [request] out. */
    fun remove(request: ForwardedRequest) {
        pools[request.pool]?.remove(request)
    }

    /** Requests that wait in [pool]. */
    fun waitingIn(pool: TargetPool): Int = pools[pool]?.size ?: 0

    /** A request of [pool] was sent. */
    fun onSent(pool: TargetPool) {
        sent.getOrPut(pool) { ArrayDeque() }.addLast(clock.nowMs())
    }

    /** Requests of [pool] that were sent in the last second. */
    fun sentLastSecond(pool: TargetPool): Int {
        val times = sent[pool] ?: return 0
        val start = clock.nowMs() - SECOND_MS
        while (times.firstOrNull()?.let { it < start } == true) times.removeFirst()
        return times.size
    }

    /**
     * Offers the places there are: first to those that can still be on time, the most urgent first, then to the others,
     * among equals to the oldest. Requests behind one that finds no place are asked only whether they wait on.
     */
    fun retry() {
        val now = clock.nowMs()
        for (pool in pools.keys.toList()) {
            val queue = pools.remove(pool).orEmpty()
            val ordered = queue.sortedWith(compareBy({ !it.canBeOnTime(now) }, { it.priority }, { it.receivedAt }))
            var blocked = false
            for (request in ordered) {
                if (blocked && !request.waitedLongest(now)) add(request) else blocked = !request.dispatch() || blocked
            }
        }
    }

    private companion object {
        const val SECOND_MS = 1_000L
    }
}
