/*
 * Queue of requests that wait for a free slot of a target, and the order in which they are sent.
 */
package auburnhall.gateway

import auburnhall.core.Clock
import auburnhall.routing.TargetPool

/** Waiting requests by pool. Traffic thread only. */
class AdmissionQueue(
    private val clock: Clock,
) {
    private val pools = HashMap<TargetPool, ArrayList<ForwardedRequest>>()
    private val sentAtMs = HashMap<TargetPool, ArrayDeque<Long>>()

    val size: Int get() = pools.values.sumOf { it.size }

    /** Adds [request] to the queue. */
    fun add(request: ForwardedRequest) {
        pools.getOrPut(request.pool) { ArrayList() }.add(request)
    }

    /** Removes [request] from the queue. */
    fun remove(request: ForwardedRequest) {
        pools[request.pool]?.remove(request)
    }

    /** Number of requests that wait for a target of [pool]. */
    fun waitingIn(pool: TargetPool): Int = pools[pool]?.size ?: 0

    /** Records that a request was sent to a target of [pool]. */
    fun onSent(pool: TargetPool) {
        sentAtMs.getOrPut(pool) { ArrayDeque() }.addLast(clock.nowMs())
    }

    /** Number of requests that were sent to targets of [pool] in the last second. */
    fun sentLastSecond(pool: TargetPool): Int {
        val times = sentAtMs[pool] ?: return 0
        val windowStartMs = clock.nowMs() - SECOND_MS
        while (times.firstOrNull()?.let { it < windowStartMs } == true) times.removeFirst()
        return times.size
    }

    /**
     * Tries to send the waiting requests of each pool: first those that can still meet their latency target, then the
     * others, in each group by priority and then by age. Once a request finds no free slot, those behind it in the pool
     * stay queued, except those that have reached the longest wait, for which admission is decided again.
     */
    fun dispatchAll() {
        val now = clock.nowMs()
        for (pool in pools.keys.toList()) {
            val queue = pools.remove(pool).orEmpty()
            val ordered = queue.sortedWith(compareBy({ !it.canMeetLatency(now) }, { it.priority }, { it.receivedAtMs }))
            var blocked = false
            for (request in ordered) {
                if (blocked && !request.waitedMaximum(now)) add(request) else blocked = !request.dispatch() || blocked
            }
        }
    }

    private companion object {
        const val SECOND_MS = 1_000L
    }
}
