/*
 * Requests that arrive while a process starts. After a loss of all processes callers reach them before they have read
 * the configuration, which takes a moment only; refusing them would use up the callers' last try.
 */
package auburnhall.gateway

import auburnhall.core.Clock
import auburnhall.core.Scheduler
import auburnhall.http.InboundRequest
import auburnhall.http.ResponseWriter

/** Holds requests until the first configuration is known, or [HOLD_MS] have passed since the start. */
internal class StartupQueue(
    private val clock: Clock,
    scheduler: Scheduler,
    private val decide: (InboundRequest, ResponseWriter) -> Unit,
) {
    private val until = clock.nowMs() + HOLD_MS
    private val held = ArrayDeque<Held>()

    init {
        scheduler.after(HOLD_MS) { release() }
    }

    /** Holds [request]; false once the time is over or too many are held. */
    fun hold(
        request: InboundRequest,
        response: ResponseWriter,
    ): Boolean {
        if (clock.nowMs() >= until || held.size >= MOST_HELD) return false
        val entry = Held(request, response)
        response.onDisconnect = { held.remove(entry) }
        held.addLast(entry)
        return true
    }

    /** Decides on all that are held. */
    fun release() {
        while (true) {
            val next = held.removeFirstOrNull() ?: return
            next.response.onDisconnect = null
            decide(next.request, next.response)
        }
    }

    private class Held(
        val request: InboundRequest,
        val response: ResponseWriter,
    )

    private companion object {
        /** Several times what a process needs to read the configuration. */
        const val HOLD_MS = 2_000L

        /** Bounds the memory of requests that are held. */
        const val MOST_HELD = 500
    }
}
