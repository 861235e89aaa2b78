/*
 * Completes a stream for its caller. A response with a length or chunks states its end. One with neither ends with its
 * connection, and a worker that crashes between two events ends it in the same way; another worker is then asked for
 * the events after the last one. Designed for a few such streams among many: the check only uses free slots and a part
 * of the retry budget. Where it is not possible or gets no response, the close counts as the end, as the platform
 * defines.
 */
package auburnhall.gateway

import auburnhall.core.logRequest
import auburnhall.http.Framing
import auburnhall.routing.Choice
import auburnhall.routing.Target

/** Ends the stream of one request. Traffic thread only. */
internal class StreamCompletion(
    private val context: GatewayContext,
    private val state: RequestState,
    private val request: ForwardedRequest,
) {
    /** [attempt] ended after a whole event, followed by [remainder]. */
    fun onStreamEnd(
        attempt: Attempt,
        remainder: ByteArray,
    ) {
        state.response.relayRemainder(remainder)
        val stated = attempt.framing != Framing.CLOSE || attempt.onlyChecksEnd
        val target = if (stated) null else targetOfCheck()
        if (target == null) complete() else check(attempt, target)
    }

    /** Ends the stream as complete. */
    fun complete() {
        state.end("served")
        state.response.finishStream()
    }

    private fun targetOfCheck(): Target? {
        val possible = state.mayRepeat && state.response.lastEventId != null && state.crashes.refusal() == null
        if (!possible) return null
        val target = (state.choose() as? Choice.Send)?.target
        return target?.takeIf { context.budgets.of(state.accepted.service).tryAcquire(BUDGET_SHARE) }
    }

    private fun check(
        ended: Attempt,
        target: Target,
    ) {
        val after = state.response.lastEventId
        context.listener.logRequest("request.end_checked", state.accepted.id, "after_event" to after)
        context.metrics.onRetry("end_unstated")
        state.detach(ended)
        state.mayHaveExecuted = true
        request.send(target, checksEnd = true)
        val checking = state.attempt
        context.scheduler.after(CHECK_TIMEOUT_MS) { if (checking === state.attempt) onCheckTimeout() }
    }

    private fun onCheckTimeout() {
        val checking = state.attempt?.takeIf { it.onlyChecksEnd } ?: return
        checking.cancel()
        complete()
    }

    private companion object {
        /** Share of the retry budget that checks may use; the rest is for requests that have failed. */
        const val BUDGET_SHARE = 0.5

        /** Time for the response to a check, in milliseconds; several times what reading a long prompt takes. */
        const val CHECK_TIMEOUT_MS = 1_000L
    }
}
