/*
 * Decides what comes of what a worker answers, or does not: the caller gets it, the request is sent once more, or it
 * ends without an answer. "Not run" is said only of requests that no worker can have run.
 */
package auburnhall.gateway

import auburnhall.core.Event
import auburnhall.http.CallFailure
import auburnhall.http.CallStep
import auburnhall.routing.Admission
import io.netty.handler.codec.http.HttpHeaders

/** Hears of one request's attempts. Traffic thread only. */
internal class AttemptOutcomeHandler(
    private val context: GatewayContext,
    private val state: RequestState,
    private val forwarding: ForwardedRequest,
) : AttemptListener {
    private val answer = state.answer

    override fun onStreamHead(
        from: Attempt,
        headers: HttpHeaders,
    ) {
        if (from === state.attempt) answer.startStream(headers)
    }

    override fun onEvent(
        from: Attempt,
        event: StreamEvent,
    ) {
        if (from === state.attempt) answer.pass(event)
    }

    override fun onStreamEnd(
        from: Attempt,
        remainder: ByteArray,
    ) {
        if (from !== state.attempt) return
        context.health.onAnswer(from.target.key, error = false)
        state.end("served")
        answer.finishStream(remainder)
    }

    override fun onWhole(
        from: Attempt,
        read: WorkerResponseHead,
        headers: HttpHeaders,
        body: ByteArray,
    ) {
        if (from !== state.attempt) return
        val failed = read.status >= SERVER_ERROR
        context.health.onAnswer(from.target.key, failed)
        val repeat = failed && context.health.hasHighErrorRate(from.target.key) && state.mayRepeat && !answer.streaming
        if (repeat) {
            state.mayHaveRun = true
            state.detach(from)
        }
        when {
            answer.streaming -> breakOff("resume refused with ${read.status}")
            repeat && forwarding.tryRetry("worker_${read.status}") -> Unit
            else -> {
                state.end(if (failed) "worker_error" else "served", "status" to read.status)
                answer.deliver(read.status, headers, body)
            }
        }
    }

    override fun onNotRun(
        from: Attempt,
        read: WorkerResponseHead,
    ) {
        if (from !== state.attempt) return
        if (from.target.replica !=
            null
        ) {
            context.health.markSuspect(from.target.key)
        } else {
            context.health.onFailure(from.target.key)
        }
        state.detach(from)
        val reason = "not_run_${read.status}"
        if (!state.mayResend || !forwarding.tryRetry(reason)) onNoTarget(Admission.Refuse(reason, NOT_RUN_RETRY_MS))
    }

    override fun onFailure(
        from: Attempt,
        failure: CallFailure,
    ) {
        if (from !== state.attempt) return
        state.detach(from)
        context.health.onFailure(from.target.key)
        val target = "target" to from.target.key.text
        val details = listOf(target, "step" to failure.step, "peer" to failure.peer, "cause" to failure.cause)
        context.listener.onEvent(Event("attempt.failed", state.accepted.id, details))
        if (failure.step == CallStep.CONNECT) {
            state.onUnreachable(from.target.key)
            val over = state.unreachableEverywhere || context.clock.nowMs() >= state.accepted.deadline
            if (over) breakOff("no connection") else forwarding.dispatch()
        } else {
            state.mayHaveRun = true
            if (!state.mayRepeat || !forwarding.tryRetry("broken_off")) breakOff(failure.cause)
        }
    }

    /** No target takes the request. */
    fun onNoTarget(refusal: Admission.Refuse) {
        if (state.mayHaveRun) {
            breakOff(refusal.reason)
        } else {
            state.end("refused", "reason" to refusal.reason, "retry_after_ms" to refusal.retryAfterMs)
            answer.refuse(refusal.retryAfterMs)
        }
    }

    /** Ends the request without an answer because of [cause]. */
    fun breakOff(cause: String) {
        state.end("broken_off", "cause" to cause)
        if (state.mayHaveRun) answer.fail(BAD_GATEWAY) else answer.refuse(NOT_RUN_RETRY_MS)
    }

    /** The time of the request is over. */
    fun onDeadline() {
        if (state.ended) return
        val current = state.attempt
        val sent = state.mayHaveRun || current?.sent == true
        state.end("deadline", "sent" to sent)
        current?.abandon()
        if (sent) answer.fail(GATEWAY_TIMEOUT) else answer.refuse(null)
    }

    /** The caller has closed its connection. */
    fun onCallerGone() {
        if (state.ended) return
        val current = state.attempt
        state.end("caller_gone")
        current?.abandon()
    }

    private companion object {
        const val SERVER_ERROR = 500

        /** About the time in which another target is found or a full one has room. */
        const val NOT_RUN_RETRY_MS = 300L
    }
}
