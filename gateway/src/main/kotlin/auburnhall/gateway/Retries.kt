/*
 * Retries of one request within the retry budget of its service. Answers the loss of a replica under load: its streams
 * break at the same moment and use up the budget, which other requests give back a little later. A stream under way
 * waits for that, since giving up would lose what its caller has received; other requests end at once. It takes no
 * retry out of the budget before there is a target, so that those which find one are not held up.
 */
package auburnhall.gateway

import auburnhall.core.logRequest
import auburnhall.routing.Choice

/** Retries of the request of [state]; [dispatch] sends it again. Traffic thread only. */
internal class Retries(
    private val context: GatewayContext,
    private val state: RequestState,
    private val wait: ResumeWait,
    private val dispatch: () -> Unit,
) {
    /** Dispatches the request again if the budget allows it; returns false otherwise. */
    fun tryNow(reason: String): Boolean {
        val acquired = acquire(reason)
        if (acquired) dispatch()
        return acquired
    }

    /** As [tryNow], but a stream under way waits for a target and the budget; calls [giveUp] if it is not retried. */
    fun whenAllowed(
        reason: String,
        giveUp: () -> Unit,
    ) {
        val retried = (canSend() && tryNow(reason)) || wait.begin { whenAllowed(reason, giveUp) }
        if (!retried) giveUp()
    }

    /** Dispatches a stream under way again a little later; calls [giveUp] if it is none, or has waited too long. */
    fun later(giveUp: () -> Unit) {
        if (!wait.begin(dispatch)) giveUp()
    }

    private fun canSend(): Boolean {
        if (!state.response.streaming) return true
        val choice = state.choose()
        return choice is Choice.Send || choice is Choice.Full
    }

    /** Takes a retry, which is then to be sent, out of the budget; returns false if there is none. */
    fun acquire(reason: String): Boolean {
        if (!context.budgets.of(state.accepted.service).tryAcquire()) return false
        context.metrics.onRetry(reason)
        context.listener.logRequest(
            "request.retried",
            state.accepted.id,
            "reason" to reason,
            "after_event" to state.response.lastEventId,
        )
        return true
    }
}
