/*
 * A planned stop: callers are sent elsewhere first, then requests in progress end, then the process does.
 */
package auburnhall.entry

import auburnhall.core.Clock
import auburnhall.core.EventListener
import auburnhall.core.Scheduler
import auburnhall.core.log
import auburnhall.http.HttpServer

/** Stops the process within [graceMs] of [begin]. Traffic thread only. */
class Shutdown(
    private val clock: Clock,
    private val scheduler: Scheduler,
    private val server: HttpServer,
    private val events: EventListener,
    private val graceMs: () -> Long,
    private val exit: () -> Unit,
) {
    private var deadline = Long.MAX_VALUE

    /** Whether the process stops. */
    var begun = false
        private set

    /** Begins to stop. */
    fun begin() {
        if (begun) return
        begun = true
        server.draining = true
        deadline = clock.nowMs() + graceMs() - EXIT_MARGIN_MS
        events.log("process.stopping", "in_progress" to server.inProgress, "grace_ms" to graceMs())
        scheduler.after(minOf(BALANCER_MS, graceMs() / 2)) { drain() }
    }

    private fun drain() {
        server.stopListening()
        await()
    }

    private fun await() {
        server.closeIdleConnections()
        if (server.inProgress == 0 || clock.nowMs() >= deadline) {
            events.log("process.stopped", "in_progress" to server.inProgress)
            exit()
        } else {
            scheduler.after(POLL_MS) { await() }
        }
    }

    private companion object {
        /** The balancer asks once a second and needs two misses, with the time on the way. */
        const val BALANCER_MS = 2_500L
        const val POLL_MS = 50L

        /** Time, in milliseconds, to end the process once its requests have ended. */
        const val EXIT_MARGIN_MS = 300L
    }
}
