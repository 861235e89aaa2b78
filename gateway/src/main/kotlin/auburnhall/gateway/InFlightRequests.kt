/*
 * The requests that a process queues until a slot is free, and those whose replicas it supervises. Their timer runs
 * only while there are any, so that an idle process sleeps.
 */
package auburnhall.gateway

/** Queued and supervised requests. Traffic thread only. */
class InFlightRequests(
    private val context: GatewayContext,
) {
    private val supervised = LinkedHashSet<ForwardedRequest>()
    private var timerRuns = false

    /** Requests that wait for a free slot; add to it with [enqueue]. */
    val queue = AdmissionQueue(context.clock)

    /** Queues [request] until a slot is free. */
    fun enqueue(request: ForwardedRequest) {
        queue.add(request)
        startTimer()
    }

    /** Supervises the replica to which [request] was sent, until the attempt ends. */
    fun supervise(request: ForwardedRequest) {
        supervised.add(request)
        startTimer()
    }

    /** Schedules the dispatch of waiting requests, since the end of a request may have left a slot free. */
    fun onEnded() {
        if (queue.size > 0) context.scheduler.run { queue.dispatchAll() }
    }

    private fun startTimer() {
        if (timerRuns) return
        timerRuns = true
        context.scheduler.after(CHECK_PERIOD_MS, ::check)
    }

    /** Dispatches waiting requests and checks the replicas of supervised requests. */
    private fun check() {
        timerRuns = false
        queue.dispatchAll()
        supervised.removeIf { it.hasNoAttempt }
        supervised.toList().forEach { it.checkReplica() }
        if (queue.size > 0 || supervised.isNotEmpty()) startTimer()
    }

    private companion object {
        /** A small part of the shortest time after which a silent replica is suspected. */
        const val CHECK_PERIOD_MS = 40L
    }
}
