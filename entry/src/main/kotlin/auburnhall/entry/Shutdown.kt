/*
 * Graceful shutdown: readiness fails first, so that the load balancer sends callers to other processes; then the
 * process stops listening, waits for the requests in progress, and exits.
 */
package auburnhall.entry

import auburnhall.core.Clock
import auburnhall.core.EventListener
import auburnhall.core.Scheduler
import auburnhall.core.log
import auburnhall.http.HttpServer

/** Calls [exit] within [graceMs] of [begin]. Traffic thread only. */
class Shutdown(
    private val clock: Clock,
    private val scheduler: Scheduler,
    private val server: HttpServer,
    private val events: EventListener,
    private val graceMs: () -> Long,
    private val exit: () -> Unit,
) {
    private var deadlineMs = Long.MAX_VALUE

    /** Whether the shutdown has begun; readiness fails from then on. */
    var begun = false
        private set

    /** Begins the shutdown; further calls have no effect. */
    fun begin() {
        if (begun) return
        begun = true
        server.draining = true
        deadlineMs = clock.nowMs() + graceMs() - EXIT_MARGIN_MS
        events.log("process.stopping", "in_progress" to server.inProgress, "grace_ms" to graceMs())
        scheduler.after(minOf(BALANCER_REACTION_MS, graceMs() / 2)) { stopListening() }
    }

    private fun stopListening() {
        server.stopListening()
        awaitRequests()
    }

    private fun awaitRequests() {
        server.closeIdleConnections()
        if (server.inProgress == 0 || clock.nowMs() >= deadlineMs) {
            events.log("process.stopped", "in_progress" to server.inProgress)
            exit()
        } else {
            scheduler.after(POLL_PERIOD_MS) { awaitRequests() }
        }
    }

    private companion object {
        /** The load balancer polls readiness once a second and needs two failures; includes the network latency. */
        const val BALANCER_REACTION_MS = 2_500L
        const val POLL_PERIOD_MS = 50L

        /** Time reserved for exiting after the last request, before the process would be killed. */
        const val EXIT_MARGIN_MS = 300L
    }
}
