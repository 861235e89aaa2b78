/*
 * Graceful shutdown: readiness fails first, so that the load balancer sends callers to other processes; then the
 * process stops listening, waits until callers have the responses to the requests in progress, and exits. Requests that
 * come late are taken only if they end in time; those still in progress at the end are ended with a response.
 */
package auburnhall.entry

import auburnhall.core.Clock
import auburnhall.core.EventListener
import auburnhall.core.log
import auburnhall.gateway.ProcessStop

/** Calls [exit] within [graceMs] of [begin]. Traffic thread only. */
class Shutdown(
    private val clock: Clock,
    private val traffic: TrafficPlane,
    private val events: EventListener,
    private val graceMs: () -> Long,
    private val exit: () -> Unit,
) {
    private val servers = listOf(traffic.callers, traffic.helped)
    private val inProgress: Int get() = servers.sumOf { it.inProgress }
    private val scheduler = traffic.scheduler
    private var deadlineMs = Long.MAX_VALUE
    private var requestsEnded = false

    /** Whether the shutdown has begun; readiness fails from then on. */
    var begun = false
        private set

    /** Begins the shutdown; further calls have no effect. */
    fun begin() {
        if (begun) return
        begun = true
        servers.forEach { it.draining = true }
        val now = clock.nowMs()
        val listensUntilMs = now + minOf(BALANCER_REACTION_MS, graceMs() / 2)
        deadlineMs = now + graceMs() - EXIT_MARGIN_MS
        traffic.gateway.stop = ProcessStop(listensUntilMs, deadlineMs)
        events.log("process.stopping", "in_progress" to inProgress, "grace_ms" to graceMs())
        scheduler.after(listensUntilMs - now) { stopListening() }
    }

    private fun stopListening() {
        servers.forEach { it.stopListening() }
        awaitRequests()
    }

    private fun awaitRequests() {
        servers.forEach { it.closeIdleConnections() }
        val now = clock.nowMs()
        if (now >= deadlineMs && !requestsEnded) endRequests()
        if (inProgress == 0 || now >= deadlineMs + SEND_TIMEOUT_MS) {
            events.log("process.stopped", "in_progress" to inProgress)
            exit()
        } else {
            scheduler.after(POLL_PERIOD_MS) { awaitRequests() }
        }
    }

    private fun endRequests() {
        requestsEnded = true
        events.log("process.requests_ended", "in_progress" to inProgress)
        traffic.gateway.endRequests()
    }

    private companion object {
        /** The load balancer polls readiness once a second and needs two failures; includes the network latency. */
        const val BALANCER_REACTION_MS = 2_500L
        const val POLL_PERIOD_MS = 50L

        /** Time reserved for exiting after the last request, before the process would be killed. */
        const val EXIT_MARGIN_MS = 400L

        /** Time for sending the responses to the requests that are ended; the rest of the margin is for the exit. */
        const val SEND_TIMEOUT_MS = 100L
    }
}
