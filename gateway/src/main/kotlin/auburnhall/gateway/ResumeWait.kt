/*
 * Lets a stream under way wait for a target or for the retry budget: giving up would lose what its caller has received,
 * a replica may be forming or full for a moment only, and the budget grows with each request. Designed for the few
 * streams that lose their replica while no other one is free.
 */
package auburnhall.gateway

/** The wait of the request of [state]. Traffic thread only. */
internal class ResumeWait(
    private val context: GatewayContext,
    private val state: RequestState,
) {
    /** Null while the stream has a target. */
    private var untilMs: Long? = null

    /** A target was found. */
    fun end() {
        untilMs = null
    }

    /**
     * Returns whether the request waits, so that [tryAgain] is called soon; false if it is no stream under way, or has
     * waited as long as callers do.
     */
    fun begin(tryAgain: () -> Unit): Boolean {
        val resumable = state.response.streaming && state.mayRepeat
        val now = context.clock.nowMs()
        val until = untilMs ?: (now + MAX_WAIT_MS)
        untilMs = until
        val waits = resumable && now < until
        if (waits) context.scheduler.after(PERIOD_MS) { if (!state.ended && state.attempt == null) tryAgain() }
        return waits
    }

    private companion object {
        /** Callers give a stream up after 2 s without an event. */
        const val MAX_WAIT_MS = 1_400L

        /** Time between two tries. */
        const val PERIOD_MS = 60L
    }
}
