/*
 * The requests that a process has in hand: those that wait for a place, and those that are sent to replicas.
 */
package auburnhall.gateway

/** Requests in progress. Traffic thread only. */
class InFlightRequests(
    private val context: GatewayContext,
) {
    private val streams = LinkedHashSet<ForwardedRequest>()

    /** Those that wait. */
    val waiting = AdmissionQueue(context.clock)

    /** [request] was sent to a replica and is to be looked after. */
    fun watch(request: ForwardedRequest) {
        streams.add(request)
    }

    /** A place may be free. */
    fun onEnded() {
        if (waiting.size > 0) context.scheduler.run { waiting.retry() }
    }

    /** Serves those that wait and moves streams away from silent replicas. */
    fun tick() {
        waiting.retry()
        streams.removeIf { it.done }
        streams.toList().forEach { it.checkSilence() }
    }
}
