/*
 * The requests that a process queues until a slot is free, and those whose replicas it supervises. Their timer is set
 * to the time at which the next of them may need something, so that a process with few streams sleeps between events.
 */
package auburnhall.gateway

import auburnhall.core.ScheduledTask
import auburnhall.routing.ReplicaFailureDetector

/** Queued and supervised requests. Traffic thread only. */
class InFlightRequests(
    private val context: GatewayContext,
) {
    private val all = LinkedHashSet<ForwardedRequest>()
    private val supervised = LinkedHashSet<ForwardedRequest>()
    private val evacuated = EvacuatedRequests(context) { all }
    private var timer: ScheduledTask? = null
    private var timerAtMs = Long.MAX_VALUE

    /** Requests that wait for a free slot; add to it with [enqueue]. */
    val queue = AdmissionQueue(context.clock)

    /** All requests that are being forwarded. */
    val requests: List<ForwardedRequest> get() = all.toList()

    /** [request] begins to be forwarded. */
    fun onStarted(request: ForwardedRequest) {
        all.add(request)
    }

    /** Ends all requests, since this process stops. */
    fun endAll() = all.toList().forEach { it.end.onProcessStop() }

    /** Queues [request] until a slot is free. */
    fun enqueue(request: ForwardedRequest) {
        queue.add(request)
        checkBy(context.clock.nowMs() + DISPATCH_PERIOD_MS)
    }

    /** Supervises the replica to which [request] was sent, until the attempt ends. */
    fun supervise(request: ForwardedRequest) {
        supervised.add(request)
        checkBy(context.clock.nowMs() + MAX_CHECK_PERIOD_MS)
    }

    /**
     * Forgets [request], whose body would be held in memory otherwise, and schedules the dispatch of waiting requests,
     * since its end may have left a slot free.
     */
    fun onEnded(request: ForwardedRequest) {
        all.remove(request)
        supervised.remove(request)
        queue.remove(request)
        if (queue.size > 0) context.scheduler.run { queue.dispatchAll() }
    }

    /** Checks the replicas of supervised requests soon, since one of them is known to be lost. */
    fun onReplicaLost() = checkBy(context.clock.nowMs())

    /** Takes requests with a quarantined part away from targets that have not begun to respond to them. */
    fun stopQuarantined() = supervised.toList().forEach { it.stopIfQuarantined() }

    /** Number of requests in evacuated data centres, as last counted; may be read on any thread. */
    val inEvacuated: Int get() = evacuated.count

    /** The data centres [dataCentres] are evacuated: requests that wait for a connection to a worker there leave. */
    fun onEvacuated(dataCentres: Set<String>) {
        all.toList().forEach { it.withdrawIfEvacuated() }
        evacuated.onEvacuated(dataCentres)
    }

    private fun checkBy(atMs: Long) {
        if (atMs >= timerAtMs) return
        timer?.cancel()
        timerAtMs = atMs
        timer = context.scheduler.after((atMs - context.clock.nowMs()).coerceAtLeast(0), ::check)
    }

    /** Dispatches waiting requests and checks the replicas of supervised requests. */
    private fun check() {
        timerAtMs = Long.MAX_VALUE
        queue.dispatchAll()
        supervised.removeIf { it.hasNoAttempt }
        val dueAtMs = supervised.toList().minOfOrNull { it.checkReplica() }
        val now = context.clock.nowMs()
        if (queue.size > 0) checkBy(now + DISPATCH_PERIOD_MS)
        if (dueAtMs != null) checkBy(dueAtMs.coerceIn(now + MIN_CHECK_PERIOD_MS, now + MAX_CHECK_PERIOD_MS))
    }

    private companion object {
        /** Time after which waiting requests are tried again: other processes may have left slots free. */
        const val DISPATCH_PERIOD_MS = 40L

        /** A replica that is silent from now on is suspected after this time at the earliest. */
        const val MAX_CHECK_PERIOD_MS = ReplicaFailureDetector.EVENT_TIMEOUT_MS

        /** A small part of the shortest time after which a silent replica is suspected. */
        const val MIN_CHECK_PERIOD_MS = 10L
    }
}
