/*
 * Holds requests that arrive before this process has read its first configuration. When all processes have restarted
 * at once, callers connect before the configuration is read, which takes only a moment; refusing their requests would
 * use up the callers' last attempt.
 */
package auburnhall.gateway

import auburnhall.core.Clock
import auburnhall.core.Scheduler
import auburnhall.http.InboundRequest
import auburnhall.http.ResponseWriter

/** Holds requests until the first configuration is read, at most [MAX_HOLD_MS] after the start. */
internal class StartupQueue(
    private val clock: Clock,
    scheduler: Scheduler,
    private val decide: (InboundRequest, ResponseWriter) -> Unit,
) {
    private val holdUntilMs = clock.nowMs() + MAX_HOLD_MS
    private val held = ArrayDeque<HeldRequest>()

    init {
        scheduler.after(MAX_HOLD_MS) { release() }
    }

    /** Holds [request]; returns false after [MAX_HOLD_MS], or if [MAX_HELD_REQUESTS] requests are held already. */
    fun hold(
        request: InboundRequest,
        response: ResponseWriter,
    ): Boolean {
        if (clock.nowMs() >= holdUntilMs || held.size >= MAX_HELD_REQUESTS) return false
        val entry = HeldRequest(request, response)
        response.onDisconnect = { held.remove(entry) }
        held.addLast(entry)
        return true
    }

    /** Passes all held requests to [decide]. */
    fun release() {
        while (true) {
            val next = held.removeFirstOrNull() ?: return
            next.response.onDisconnect = null
            decide(next.request, next.response)
        }
    }

    private class HeldRequest(
        val request: InboundRequest,
        val response: ResponseWriter,
    )

    private companion object {
        /** Several times the time that a process needs to read the configuration. */
        const val MAX_HOLD_MS = 2_000L

        /** Limits the memory that held requests take. */
        const val MAX_HELD_REQUESTS = 500
    }
}
