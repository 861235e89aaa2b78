/*
 * Opens attempts: asks for a place, checks that the request may still be sent, and sends it.
 */
package auburnhall.gateway

import auburnhall.core.HttpStatus
import auburnhall.core.Reason
import auburnhall.core.Step
import auburnhall.core.StepError
import auburnhall.engine.ChatCall
import auburnhall.engine.ChatResult
import auburnhall.limits.AdmissionRequest
import auburnhall.limits.AdmissionResult
import auburnhall.limits.AdmissionTicket
import auburnhall.limits.TicketOutcome

/** Opens the attempts of one answer into [slot]. */
internal class AttemptOpener(
    private val parts: GatewayParts,
    private val order: AnswerOrder,
    private val times: AnswerTimes,
    private val progress: AnswerProgress,
    private val slot: AttemptSlot,
) {
    private val clock = parts.clock
    private val requestId = order.caller.arrival.requestId

    /** Opens one attempt. Returns null when it runs, or when another should be opened; otherwise the answer's end. */
    fun open(): AnswerEvent? {
        val resumes = progress.lastFailure != null
        progress.attempts += 1
        if (resumes) parts.listener.onRetry(requestId)
        return when (val result = parts.admission.admit(admissionRequest(resumes))) {
            is AdmissionResult.Refused -> progress.notAdmitted(result.refusal)
            is AdmissionResult.Admitted -> dispatch(result.ticket)
        }
    }

    private fun dispatch(ticket: AdmissionTicket): AnswerEvent? {
        progress.onAdmitted(ticket)
        val call = chatCall(ticket)
        val obstacle = if (slot.isClosed) progress.callerGone() else tooLate(ticket)
        return if (obstacle == null) send(ticket, call) else giveBack(ticket, obstacle)
    }

    private fun send(
        ticket: AdmissionTicket,
        call: ChatCall,
    ): AnswerEvent? =
        when (val result = parts.engines.chat(ticket.replica.leaderAddress, call)) {
            is ChatResult.Streaming -> onStreaming(ticket, result)
            is ChatResult.Refused -> onRefused(ticket, result)
            is ChatResult.Failed -> {
                progress.mayHaveRun = true
                tryNext(ticket, result.error)
            }
        }

    private fun onStreaming(
        ticket: AdmissionTicket,
        result: ChatResult.Streaming,
    ): AnswerEvent? {
        progress.mayHaveRun = true
        val attempt = Attempt(ticket, result.stream, times.beginBy(clock.monotonicMillis()), progress.tokens)
        return if (slot.install(attempt)) null else progress.callerGone()
    }

    private fun onRefused(
        ticket: AdmissionTicket,
        result: ChatResult.Refused,
    ): AnswerEvent? =
        if (result.status in REQUEST_FAULTS) {
            giveBack(ticket, progress.failed(Reason.MALFORMED, result.error))
        } else {
            tryNext(ticket, result.error)
        }

    private fun tryNext(
        ticket: AdmissionTicket,
        error: StepError,
    ): AnswerEvent? {
        ticket.finish(TicketOutcome.REPLICA_FAILED, 0)
        progress.onAttemptFailed(ticket.replica.replica.id, error)
        return null
    }

    private fun giveBack(
        ticket: AdmissionTicket,
        event: AnswerEvent,
    ): AnswerEvent {
        ticket.finish(TicketOutcome.CANCELLED, 0)
        return event
    }

    private fun tooLate(ticket: AdmissionTicket): AnswerEvent? {
        if (order.dispatchBefore?.hasPassed(clock.monotonicMillis()) != true) return null
        val peer = ticket.replica.replica.leader.value
        val error = StepError(Step.DISPATCH, peer, "The time to pass it on ran out while it waited.")
        return progress.failed(Reason.DEADLINE_UNREACHABLE, error)
    }

    private fun admissionRequest(resumes: Boolean): AdmissionRequest {
        val maxTokens = order.chat.maxTokens ?: parts.settings.defaultMaxTokens
        return AdmissionRequest(
            requestId,
            order.caller.customer.id,
            order.caller.plan,
            order.chat.model,
            order.chat.prefixes,
            (maxTokens - progress.tokens).coerceAtLeast(1),
            times.placeBy(clock.monotonicMillis(), resumes),
            times.answerBy,
            progress.excluded.toSet(),
            resumes,
        )
    }

    private fun chatCall(ticket: AdmissionTicket): ChatCall {
        val replica = ticket.replica.replica
        return ChatCall(
            requestId,
            order.chat.body,
            replica.id,
            replica.generation,
            order.caller.plan.priority,
            progress.text.ifEmpty { null },
            progress.tokens,
            times.beginBy(clock.monotonicMillis()),
        )
    }

    private companion object {
        /** Statuses with which an engine says that the request itself is at fault. */
        val REQUEST_FAULTS = setOf(HttpStatus.BAD_REQUEST, HttpStatus.CONTENT_TOO_LARGE, HttpStatus.UNPROCESSABLE)
    }
}
