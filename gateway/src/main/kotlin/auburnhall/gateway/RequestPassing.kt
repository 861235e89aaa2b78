/*
 * Passes one request on to other processes, when this one reaches no worker or none that can serve the request. A
 * request that may run once only leaves a worker for another process only if nothing was sent to that worker.
 */
package auburnhall.gateway

import auburnhall.core.logRequest
import auburnhall.routing.Admission
import auburnhall.routing.Choice
import auburnhall.routing.Target

/** Passes on the request of [state]. Traffic thread only. */
internal class RequestPassing(
    private val context: GatewayContext,
    private val state: RequestState,
    private val request: ForwardedRequest,
    private val outcomes: AttemptOutcomeHandler,
) {
    /** Passes the request on; returns false if no process is left. */
    fun passOn(): Boolean {
        val helper = state.helpers.select() ?: return false
        request.send(helper)
        return true
    }

    /** Passes the request on if [choice] is none since its targets could not be reached; returns whether it did. */
    fun insteadOf(choice: Choice): Boolean = choice is Choice.None && state.hasUnreachable && passOn()

    /** Takes the request away from a worker that this process no longer reaches, if another process may serve it. */
    fun leaveUnreachable() {
        val current = state.attempt?.takeIf { !it.target.helper } ?: return
        if (current.isConnecting) {
            current.cancel()
            state.onWithdrawn(current.target.key)
            outcomes.onWithdrawn(current)
        } else if (state.mayRepeat && !current.onlyChecksEnd) {
            val helper = state.helpers.select()?.takeIf { request.retries.acquire("unreachable") } ?: return
            current.cancel()
            state.detach(current)
            state.mayHaveExecuted = true
            request.send(helper)
        }
    }

    /** The process of [attempt] did not take the request, as [cause] says; nothing was sent to a worker. */
    fun onDeclined(
        attempt: Attempt,
        cause: String,
    ) {
        val helper = attempt.target
        context.listener.logRequest(
            "request.declined",
            state.accepted.id,
            "helper" to helper.worker.id,
            "cause" to cause,
        )
        state.detach(attempt)
        state.onWithdrawn(helper.key)
        state.helpers.onDeclined(helper)
        val giveUp = { request.end.onNoTarget(Admission.Refuse(NO_HELPER, RequestEnd.RETRY_AFTER_MS)) }
        if (!passOn()) request.retries.later(giveUp)
    }

    /** A worker's response with [head] cannot be given to the process that has passed the request on to this one. */
    fun onMisread(
        attempt: Attempt,
        head: WorkerResponseHead,
    ) {
        attempt.buffer.release()
        state.detach(attempt)
        state.mayHaveExecuted = true
        request.end.onError("the process that passed it on would misread status ${head.status}")
    }

    /** The request is sent to [helper], which may send it to [attemptsLeft] targets. */
    fun onSent(
        helper: Target,
        attemptsLeft: Int,
    ) = context.listener.logRequest(
        "request.passed_on",
        state.accepted.id,
        "helper" to helper.worker.id,
        "isolated" to context.reachability.isolated,
        "attempts_left" to attemptsLeft,
        "after_event" to state.response.lastEventId,
    )

    private companion object {
        const val NO_HELPER = "no process reaches a worker"
    }
}

/** The processes that [accepted] can be passed on to. Traffic thread only. */
internal class RequestHelpers(
    private val context: GatewayContext,
    private val accepted: AcceptedRequest,
) {
    private val declined = HashSet<String>()

    /**
     * Another process to pass the request on to; null if none is left, or if one has passed it on to this process.
     * While other workers are reached, one is asked at most: those of the request are likely to have failed.
     */
    fun select(): Target? {
        val asked = declined.isNotEmpty() && !context.reachability.isolated
        if (accepted.passOn != null || asked) return null
        return context.helpers.select(declined)?.asTarget(accepted.service, accepted.metadata.model)
    }

    /** The choice while no worker is reached; null if workers are to be tried, since there are no other processes. */
    fun choose(): Choice? {
        val helper = if (context.reachability.isolated) select() else null
        return when {
            helper != null -> Choice.Send(helper, 0)
            context.reachability.isolated && declined.isNotEmpty() -> Choice.None
            else -> null
        }
    }

    /** [helper] did not take the request. */
    fun onDeclined(helper: Target) {
        declined.add(helper.worker.id)
        context.helpers.onFailure(helper.worker.id)
    }
}
