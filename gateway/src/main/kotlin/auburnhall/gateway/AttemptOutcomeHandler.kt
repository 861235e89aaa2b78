/*
 * Handles the outcome of an attempt: the worker's response is relayed to the caller, the request is retried, or it ends
 * without a response from a worker.
 */
package auburnhall.gateway

import auburnhall.core.EventListener
import auburnhall.core.logRequest
import auburnhall.http.CallFailure
import auburnhall.http.CallStep
import auburnhall.routing.Admission
import auburnhall.routing.Target
import io.netty.handler.codec.http.HttpHeaders

/** Handles the outcomes of one request's attempts. Traffic thread only. */
internal class AttemptOutcomeHandler(
    private val context: GatewayContext,
    private val state: RequestState,
    private val request: ForwardedRequest,
    private val end: RequestEnd,
) : AttemptListener {
    private val response = state.response
    private val completion = StreamCompletion(context, state, request)

    override fun onStreamHead(
        attempt: Attempt,
        headers: HttpHeaders,
    ) {
        if (attempt === state.attempt) response.startStream(headers)
    }

    override fun onEvent(
        attempt: Attempt,
        event: StreamEvent,
    ) {
        if (attempt === state.attempt) response.relay(event)
    }

    override fun onStreamEnd(
        attempt: Attempt,
        remainder: ByteArray,
    ) {
        if (attempt !== state.attempt) return
        context.health.onAnswer(attempt.target.key, error = false)
        attempt.buffer.release()
        completion.onStreamEnd(attempt, remainder)
    }

    override fun onFullResponse(
        attempt: Attempt,
        head: WorkerResponseHead,
        headers: HttpHeaders,
        body: ByteArray,
    ) {
        if (attempt !== state.attempt) return
        val failed = head.status >= FIRST_SERVER_ERROR_STATUS
        context.health.onAnswer(attempt.target.key, failed)
        if (response.streaming) return onNotResumed(attempt, head)
        val retry = failed && context.health.hasHighErrorRate(attempt.target.key) && state.mayRepeat
        if (retry) {
            state.mayHaveExecuted = true
            state.detach(attempt)
            attempt.buffer.release()
        }
        when {
            retry && request.retries.tryNow("worker_${head.status}") -> Unit
            state.accepted.passOn?.misreads(head) == true -> request.passing.onMisread(attempt, head)
            else -> {
                val details = listOf("status" to head.status, "signed" to head.authentic)
                state.end(if (failed) "worker_error" else "served", details)
                response.sendComplete(head.status, headers, body, attempt.buffer::release)
            }
        }
    }

    /** The worker was to resume a stream and sent another response, of which nothing may reach the caller. */
    private fun onNotResumed(
        attempt: Attempt,
        head: WorkerResponseHead,
    ) {
        attempt.buffer.release()
        state.detach(attempt)
        state.mayHaveExecuted = true
        val giveUp = { end.onError("worker refused to resume the stream with status ${head.status}") }
        if (state.mayRepeat) request.retries.whenAllowed("not_resumed_${head.status}", giveUp) else giveUp()
    }

    override fun onNotExecuted(
        attempt: Attempt,
        head: WorkerResponseHead,
    ) {
        attempt.buffer.release()
        if (attempt !== state.attempt) return
        when {
            attempt.onlyChecksEnd -> completion.complete()
            attempt.target.helper -> request.passing.onDeclined(attempt, head.describe())
            else -> onRejected(attempt, head)
        }
    }

    private fun onRejected(
        attempt: Attempt,
        head: WorkerResponseHead,
    ) {
        if (head.pauseMs == null && !head.leaving) context.noteRejection(attempt.target)
        state.detach(attempt)
        state.onRejected()
        val reason = "not_run_${head.status}"
        val giveUp = { end.onNoTarget(Admission.Refuse(reason, RequestEnd.RETRY_AFTER_MS)) }
        if (state.hasAttemptsLeft) request.retries.whenAllowed(reason, giveUp) else giveUp()
    }

    /** [attempt] was cancelled before anything was sent, since nothing may be sent to its data centre any more. */
    fun onWithdrawn(attempt: Attempt) {
        context.listener.logRequest("request.withdrawn", state.accepted.id, "target" to attempt.target.key.text)
        if (attempt.onlyChecksEnd) return completion.complete()
        state.detach(attempt)
        sendElsewhere()
    }

    override fun onFailure(
        attempt: Attempt,
        failure: CallFailure,
    ) {
        if (attempt !== state.attempt) return
        context.listener.logFailure(attempt, failure, state.accepted)
        if (attempt.target.helper && !failure.sent) return request.passing.onDeclined(attempt, failure.cause)
        state.detach(attempt)
        if (attempt.target.helper) {
            context.helpers.onFailure(attempt.target.worker.id)
        } else {
            context.health.onFailure(attempt.target.key)
        }
        if (failure.step == CallStep.CONNECT) {
            state.onUnreachable(attempt.target.key)
            sendElsewhere()
        } else {
            state.mayHaveExecuted = true
            val giveUp = { end.onError(failure.cause) }
            val mayRetry = state.crashes.mayRetryAfter(attempt, failure) && state.mayRepeat
            if (mayRetry) request.retries.whenAllowed("broken_off", giveUp) else giveUp()
        }
    }

    /** No connection to a target could be made, so that nothing was sent. */
    private fun sendElsewhere() {
        val giveUp = { end.onError("could not connect to a target") }
        when {
            context.clock.nowMs() >= state.accepted.deadlineMs -> giveUp()
            state.connectAttemptsExhausted -> if (!request.passing.passOn()) request.retries.later(giveUp)
            else -> request.dispatch()
        }
    }

    private companion object {
        const val FIRST_SERVER_ERROR_STATUS = 500
    }
}

private fun EventListener.logFailure(
    attempt: Attempt,
    failure: CallFailure,
    accepted: AcceptedRequest,
) = logRequest(
    "attempt.failed",
    accepted.id,
    "target" to attempt.target.key.text,
    "step" to failure.step,
    "peer" to failure.peer,
    "cause" to failure.cause,
    "earlier_calls" to failure.earlierCalls,
    "dropped_responses" to failure.droppedResponses,
    "after_ms" to attempt.ageMs,
    "events" to attempt.eventCount,
    "framing" to attempt.framing,
    "partial_event_bytes" to attempt.partialEventBytes,
    "parts" to accepted.metadata.sharedParts.joinToString(","),
)

private fun WorkerResponseHead.describe() = "status $status, ${if (authentic) "signed" else "not signed"}"

/** A worker that does not say why it rejects a request is avoided for a while. */
private fun GatewayContext.noteRejection(target: Target) =
    if (target.replica != null) health.markSuspect(target.key) else health.onFailure(target.key)
