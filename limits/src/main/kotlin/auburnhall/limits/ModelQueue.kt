/*
 * Requests that wait for one model: weighted fair between customers, earliest deadline first within one.
 */
package auburnhall.limits

import auburnhall.core.CustomerId
import auburnhall.core.Reason
import java.util.TreeSet

/** The waiting requests of one model. Not thread-safe. */
internal class ModelQueue(
    val name: String,
) {
    private class CustomerQueue {
        val waiting = TreeSet(ORDER)
        var finishTag = 0.0

        /** The account of the first request; only of a queue that is not empty. */
        val shares: CustomerShares get() = waiting.first().waiting.shares
    }

    private class Numbered(
        val waiting: WaitingRequest,
        val number: Long,
    )

    private val resumed = TreeSet(ORDER)
    private val customers = LinkedHashMap<CustomerId, CustomerQueue>()
    private val numbered = HashMap<WaitingRequest, Numbered>()
    private var virtualTime = 0.0
    private var offered = 0L

    /** How long requests of this model take. */
    val pace = Pace()

    /** Requests with a place. */
    var inProgress = 0

    val size: Int get() = numbered.size

    fun add(waiting: WaitingRequest) {
        offered += 1
        val n = Numbered(waiting, offered)
        numbered[waiting] = n
        waiting.shares.waiting += 1
        if (waiting.request.resumes) {
            resumed += n
        } else {
            customers.getOrPut(waiting.request.customer) { CustomerQueue() }.waiting += n
        }
    }

    fun remove(waiting: WaitingRequest) {
        val n = numbered.remove(waiting) ?: return
        waiting.shares.waiting -= 1
        resumed.remove(n)
        val queue = customers[waiting.request.customer]
        queue?.waiting?.remove(n)
        if (queue != null && queue.waiting.isEmpty() && queue.finishTag <= virtualTime) {
            customers.remove(waiting.request.customer)
        }
    }

    /** The request to be served next; null when none waits that may start. */
    fun next(nowMillis: Long): WaitingRequest? {
        if (resumed.isNotEmpty()) return resumed.first().waiting
        var best: CustomerQueue? = null
        for (queue in customers.values) {
            if (queue.waiting.isEmpty() || (best != null && tag(queue) >= tag(best))) continue
            val obstacle = queue.shares.obstacle(nowMillis)
            if (obstacle == null) best = queue else queue.shares.isShort = true
        }
        return best?.waiting?.first()?.waiting
    }

    /** Takes [waiting] out because it got a place; [tokens] is what it is expected to cost. */
    fun take(
        waiting: WaitingRequest,
        tokens: Double,
    ) {
        val queue = customers[waiting.request.customer]
        if (!waiting.request.resumes && queue != null) {
            virtualTime = tag(queue)
            queue.finishTag = virtualTime + tokens.coerceAtLeast(1.0) /
                waiting.request.plan.weight
                    .coerceAtLeast(1)
        }
        remove(waiting)
    }

    /** Requests that could not be answered in time any more if they started now. */
    fun overdue(nowMillis: Long): List<WaitingRequest> =
        (customers.values.map { it.waiting } + listOf(resumed)).flatMap { queue ->
            queue.takeWhile { it.waiting.latestStart < nowMillis }.map { it.waiting }
        }

    /** Requests that waited as long as they may for a share of their customer's limits, with the bound in the way. */
    fun beyondLimits(nowMillis: Long): List<Pair<WaitingRequest, Reason>> =
        customers.values.filter { it.waiting.isNotEmpty() }.flatMap { queue ->
            val bound = queue.shares.exceeded(nowMillis)
            if (bound == null) {
                emptyList()
            } else {
                queue.waiting.filter { it.waiting.shareBy <= nowMillis }.map { it.waiting to bound }
            }
        }

    /** Forgets customers without requests other than [known]. */
    fun forget(known: Set<CustomerId>) {
        customers.entries.removeIf { (id, queue) -> queue.waiting.isEmpty() && id !in known }
    }

    /** Estimates how long [waiting] would wait with [places] places for this process. */
    fun waitMillis(
        waiting: WaitingRequest,
        places: Double,
    ): Long {
        val queue = customers[waiting.request.customer]
        val ahead = queue?.waiting?.count { it.waiting.latestStart <= waiting.latestStart } ?: 0
        val weight =
            waiting.request.plan.weight
                .coerceAtLeast(1)
        val weights =
            customers.values.filter { it.waiting.isNotEmpty() && it !== queue }.sumOf { it.shares.plan.weight } + weight
        val turns = minOf((ahead + 1.0) * weights / weight, size + 1.0)
        return pace.millisFor(turns, places)
    }

    private fun tag(queue: CustomerQueue) = maxOf(virtualTime, queue.finishTag)

    private companion object {
        val ORDER = compareBy<Numbered>({ it.waiting.latestStart }, { it.number })
    }
}
