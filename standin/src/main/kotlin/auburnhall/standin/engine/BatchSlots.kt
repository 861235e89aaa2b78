/*
 * The places of a stand-in engine's batch, given to waiting requests by priority and then by arrival.
 */
package auburnhall.standin.engine

import java.util.PriorityQueue
import java.util.concurrent.locks.ReentrantLock
import kotlin.concurrent.withLock

internal class BatchSlots(
    private val capacity: Int,
) {
    private data class Waiter(
        val priority: Int,
        val order: Long,
    )

    private val lock = ReentrantLock()
    private val freed = lock.newCondition()
    private val waiters = PriorityQueue<Waiter>(compareBy({ it.priority }, { it.order }))
    private var running = 0
    private var arrivals = 0L

    fun running(): Int = lock.withLock { running }

    fun queued(): Int = lock.withLock { waiters.size }

    /** Waits for a place. */
    fun acquire(priority: Int) =
        lock.withLock {
            arrivals += 1
            val w = Waiter(priority, arrivals)
            waiters += w
            while (running >= capacity || waiters.peek() != w) freed.await()
            waiters.remove(w)
            running += 1
            freed.signalAll()
        }

    fun release() =
        lock.withLock {
            running -= 1
            freed.signalAll()
        }
}
