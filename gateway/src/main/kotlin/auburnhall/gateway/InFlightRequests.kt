/*
 * The requests that a process has in progress: those that wait for a free slot, and those sent to replicas.
 */
package auburnhall.gateway

/** Requests in progress. Traffic thread only. */
class InFlightRequests(
    private val context: GatewayContext,
) {
    private val supervised = LinkedHashSet<ForwardedRequest>()

    /** Requests that wait for a free slot. */
    val queue = AdmissionQueue(context.clock)

    /** Supervises [request], which was sent to a replica, until its attempt ends. */
    fun watch(request: ForwardedRequest) {
        supervised.add(request)
    }

    /** Dispatches waiting requests, since the end of a request may have left a slot free. */
    fun onEnded() {
        if (queue.size > 0) context.scheduler.run { queue.dispatchAll() }
    }

    /** Dispatches waiting requests and retries those at silent replicas elsewhere. */
    fun tick() {
        queue.dispatchAll()
        supervised.removeIf { it.hasNoAttempt }
        supervised.toList().forEach { it.checkReplica() }
    }
}
