/*
 * Ends a request without a response from a worker. The caller gets status 503, which states that the request was not
 * executed, only if no worker can have executed it.
 */
package auburnhall.gateway

import auburnhall.routing.Admission

/** Ends the request of [state]; does nothing once it has ended. Traffic thread only. */
internal class RequestEnd(
    private val state: RequestState,
) {
    private val response = state.response

    /** Ends the request because no target accepts it, or because it must not be sent. */
    fun onNoTarget(refusal: Admission.Refuse) {
        if (state.mayHaveExecuted) {
            onError(refusal.reason, refusal.evidence)
        } else {
            val details = listOf("reason" to refusal.reason, "retry_after_ms" to refusal.retryAfterMs)
            state.end("refused", details + refusal.evidence)
            response.refuse(refusal.retryAfterMs)
        }
    }

    /** Ends the request because of [cause]: status 502 or an aborted stream if it may have been executed, else 503. */
    fun onError(
        cause: String,
        evidence: List<Pair<String, Any?>> = emptyList(),
    ) {
        state.end("broken_off", listOf("cause" to cause) + evidence)
        if (state.mayHaveExecuted) response.fail(BAD_GATEWAY) else response.refuse(RETRY_AFTER_MS)
    }

    /** Ends the request at its deadline: status 504 or an aborted stream if it may have been sent, else 503. */
    fun onDeadline() = endUnfinished("deadline", GATEWAY_TIMEOUT, null)

    /** Ends the request because this process stops: 502 or an aborted stream if it may have been sent, else 503. */
    fun onProcessStop() = endUnfinished("stopped", BAD_GATEWAY, RETRY_AFTER_MS)

    /** Ends the request because the caller has closed its connection. */
    fun onCallerDisconnected() {
        if (state.ended) return
        val current = state.attempt
        state.end("caller_gone")
        current?.cancel()
    }

    private fun endUnfinished(
        outcome: String,
        statusIfSent: Int,
        retryAfterMs: Long?,
    ) {
        if (state.ended) return
        val current = state.attempt
        val sent = state.mayHaveExecuted || current?.sent == true
        state.end(outcome, listOf("sent" to sent))
        current?.cancel()
        if (sent) response.fail(statusIfSent) else response.refuse(retryAfterMs)
    }

    companion object {
        /** About the time until another target is available or a full one has a free slot. */
        const val RETRY_AFTER_MS = 300L
    }
}
