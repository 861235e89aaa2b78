/*
 * The requests that a process queues until a slot is free, and those whose replicas it supervises.
 */
package auburnhall.gateway

/** Queued and supervised requests. Traffic thread only. */
class InFlightRequests(
    private val context: GatewayContext,
) {
    private val supervised = LinkedHashSet<ForwardedRequest>()

    /** Requests that wait for a free slot. */
    val queue = AdmissionQueue(context.clock)

    /** Supervises the replica to which [request] was sent, until the attempt ends. */
    fun supervise(request: ForwardedRequest) {
        supervised.add(request)
    }

    /** Schedules the dispatch of waiting requests, since the end of a request may have left a slot free. */
    fun onEnded() {
        if (queue.size > 0) context.scheduler.run { queue.dispatchAll() }
    }

    /** Dispatches waiting requests and checks the replicas of supervised requests. */
    fun tick() {
        queue.dispatchAll()
        supervised.removeIf { it.hasNoAttempt }
        supervised.toList().forEach { it.checkReplica() }
    }
}
