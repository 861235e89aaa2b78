/*
 * One answer, over as many replicas as it takes. The session remembers the text it has delivered; when a replica fails,
 * the answer goes on at another one from there. An event of a replica that was given up is never read again, because its
 * stream is closed before the next is opened.
 */
package auburnhall.gateway

import auburnhall.core.Deadline
import auburnhall.core.HttpStatus
import auburnhall.core.Reason
import auburnhall.core.Refusal
import auburnhall.core.ReplicaId
import auburnhall.core.RunState
import auburnhall.core.Step
import auburnhall.core.StepError
import auburnhall.engine.ChatCall
import auburnhall.engine.ChatEvent
import auburnhall.engine.ChatResult
import auburnhall.engine.ChatStream
import auburnhall.limits.AdmissionRequest
import auburnhall.limits.AdmissionResult
import auburnhall.limits.AdmissionTicket
import auburnhall.limits.TicketOutcome

/** What a session tells its caller. */
internal sealed interface AnswerEvent {
    /** More text. */
    data class Text(
        val text: String,
    ) : AnswerEvent

    /** The whole answer has been delivered. */
    data class Finished(
        val finishReason: String,
        val promptTokens: Int,
        val generatedTokens: Int,
    ) : AnswerEvent

    /** The answer ends here, incomplete. */
    data class Failed(
        val refusal: Refusal,
    ) : AnswerEvent
}

/**
 * What a session is asked for.
 *
 * @property dispatchBefore the first byte must not be sent at or after this; null when it may be sent at any time.
 * @property once whether the request must not be sent again after a replica may have received it.
 */
internal data class AnswerOrder(
    val caller: Authenticated,
    val chat: ChatRequest,
    val dispatchBefore: Deadline? = null,
    val once: Boolean = false,
)

/** Delivers one answer. [next] is called by one thread; [close] may come from any. */
internal class AnswerSession(
    private val parts: GatewayParts,
    private val order: AnswerOrder,
) : AutoCloseable {
    private class Attempt(
        val ticket: AdmissionTicket,
        val stream: ChatStream,
        var nextBy: Deadline,
        var tokens: Int = 0,
    )

    private sealed interface Opening {
        class Opened(
            val attempt: Attempt,
        ) : Opening

        class Ended(
            val event: AnswerEvent,
        ) : Opening

        data object TryNext : Opening
    }

    private val trail = order.caller.arrival.trail
    private val plan = order.caller.plan
    private val clock = parts.clock
    private val settings = parts.settings
    private val answerBy = trail.deadlineIn(plan.answerMillis)
    private val latestEnd = trail.deadlineIn(plan.answerMillis + settings.overtimeMillis)
    private val delivered = StringBuilder()
    private val excluded = HashSet<ReplicaId>()
    private val lock = Any()
    private var current: Attempt? = null
    private var closed = false
    private var attempts = 0
    private var tokens = 0
    private var lastTokenAt = 0L
    private var mayHaveRun = false
    private var lastFailure: StepError? = null

    /** The text delivered so far. */
    val text: String get() = delivered.toString()

    /** Waits for the next event. After [AnswerEvent.Finished] or [AnswerEvent.Failed] none follows. */
    fun next(): AnswerEvent {
        while (true) {
            val attempt = synchronized(lock) { current }
            val event = if (attempt == null) openNext() else read(attempt)
            if (event != null) return event
        }
    }

    /** Cancels the answer at the engine and gives its place back; does nothing once the answer has ended. */
    override fun close() {
        val attempt =
            synchronized(lock) {
                closed = true
                current
            }
        if (attempt != null) end(attempt, TicketOutcome.CANCELLED)
    }

    private fun openNext(): AnswerEvent? {
        whyNotOpen()?.let { return it }
        attempts += 1
        return when (val opening = open()) {
            is Opening.Ended -> opening.event
            is Opening.Opened -> install(opening.attempt)
            Opening.TryNext -> null
        }
    }

    private fun whyNotOpen(): AnswerEvent? {
        val failure = lastFailure
        return when {
            closedNow() -> callerGone()
            lengthReached() -> AnswerEvent.Finished(LENGTH, 0, tokens)
            failure == null -> null
            order.once && mayHaveRun -> failed(Reason.OUTCOME_UNKNOWN, failure)
            answerBy.hasPassed(clock.monotonicMillis()) -> failed(Reason.ANSWER_LATE, failure)
            attempts >= settings.attempts -> failed(Reason.ENGINE_FAILED, failure)
            else -> null
        }
    }

    private fun open(): Opening {
        val resumes = lastFailure != null
        if (resumes) parts.listener.onRetry(trail.requestId)
        return when (val result = parts.admission.admit(admissionRequest(resumes))) {
            is AdmissionResult.Refused -> Opening.Ended(AnswerEvent.Failed(notAdmitted(result.refusal)))
            is AdmissionResult.Admitted -> dispatch(result.ticket)
        }
    }

    private fun dispatch(ticket: AdmissionTicket): Opening {
        admitted(ticket)
        val before = order.dispatchBefore
        if (closedNow()) return giveBack(ticket, callerGone())
        if (before != null &&
            before.hasPassed(clock.monotonicMillis())
        ) {
            return giveBack(ticket, tooLateToDispatch(ticket))
        }
        return when (val result = parts.engines.chat(ticket.replica.leaderAddress, chatCall(ticket))) {
            is ChatResult.Streaming -> Opening.Opened(attempt(ticket, result.stream))
            is ChatResult.Refused -> engineRefused(ticket, result)
            is ChatResult.Failed -> {
                mayHaveRun = true
                failedAt(ticket, result.error)
            }
        }
    }

    private fun engineRefused(
        ticket: AdmissionTicket,
        result: ChatResult.Refused,
    ): Opening {
        if (result.status !in REQUEST_FAULTS) return failedAt(ticket, result.error)
        ticket.finish(TicketOutcome.CANCELLED, 0)
        return Opening.Ended(failed(Reason.MALFORMED, result.error))
    }

    private fun failedAt(
        ticket: AdmissionTicket,
        error: StepError,
    ): Opening {
        ticket.finish(TicketOutcome.REPLICA_FAILED, 0)
        noteFailure(ticket.replica.replica.id, error)
        return Opening.TryNext
    }

    private fun giveBack(
        ticket: AdmissionTicket,
        event: AnswerEvent,
    ): Opening {
        ticket.finish(TicketOutcome.CANCELLED, 0)
        return Opening.Ended(event)
    }

    private fun attempt(
        ticket: AdmissionTicket,
        stream: ChatStream,
    ): Attempt {
        mayHaveRun = true
        return Attempt(ticket, stream, firstBy())
    }

    /** The plan's promise for the first token is waited out; a later attempt only gets the time for one silence. */
    private fun firstBy(): Deadline {
        val promised = trail.deadlineIn(plan.firstTokenMillis)
        val silence = Deadline(clock.monotonicMillis() + settings.silenceMillis)
        return minOf(maxOf(promised, silence), latestEnd)
    }

    private fun install(attempt: Attempt): AnswerEvent? {
        val accepted =
            synchronized(lock) {
                if (!closed) current = attempt
                !closed
            }
        if (accepted) return null
        release(attempt, TicketOutcome.CANCELLED)
        return callerGone()
    }

    private fun read(attempt: Attempt): AnswerEvent? =
        when (val event = attempt.stream.next(attempt.nextBy)) {
            is ChatEvent.Text -> onText(attempt, event)
            is ChatEvent.Finished -> onFinished(attempt, event)
            is ChatEvent.Broken -> onBroken(attempt, event.error)
            ChatEvent.Silent -> onSilent(attempt)
        }

    private fun onText(
        attempt: Attempt,
        event: ChatEvent.Text,
    ): AnswerEvent? {
        if (closedNow()) return callerGone()
        val now = clock.monotonicMillis()
        attempt.nextBy = minOf(Deadline(now + settings.silenceMillis), latestEnd)
        if (event.text.isEmpty() && event.tokens == 0) return null
        noteToken(attempt, now)
        attempt.tokens += event.tokens
        tokens += event.tokens
        trail.tokens = tokens
        delivered.append(event.text)
        return AnswerEvent.Text(event.text)
    }

    private fun noteToken(
        attempt: Attempt,
        now: Long,
    ) {
        if (attempt.tokens == 0) attempt.ticket.onFirstToken()
        if (tokens == 0) {
            noteFirstToken(attempt)
        } else {
            parts.listener.onToken(now - lastTokenAt)
        }
        lastTokenAt = now
    }

    private fun noteFirstToken(attempt: Attempt) {
        val took = trail.elapsedMillis()
        parts.listener.onFirstToken(trail.requestId, took)
        if (took <= plan.firstTokenMillis) return
        val message = "The first token came after $took ms instead of ${plan.firstTokenMillis} ms."
        trail.add(Reason.SLOW_REPLICA, StepError(Step.STREAM, peerOf(attempt.ticket), message))
    }

    private fun onFinished(
        attempt: Attempt,
        event: ChatEvent.Finished,
    ): AnswerEvent {
        if (!end(attempt, TicketOutcome.COMPLETED)) return callerGone()
        val took = trail.elapsedMillis()
        if (took > plan.answerMillis) {
            val message = "The answer was complete after $took ms instead of ${plan.answerMillis} ms."
            trail.add(Reason.SLOW_REPLICA, StepError(Step.FINISH, peerOf(attempt.ticket), message))
        }
        return AnswerEvent.Finished(event.finishReason, event.promptTokens, tokens)
    }

    private fun onBroken(
        attempt: Attempt,
        error: StepError,
    ): AnswerEvent? {
        if (!end(attempt, TicketOutcome.REPLICA_FAILED)) return callerGone()
        noteFailure(attempt.ticket.replica.replica.id, error)
        return null
    }

    private fun onSilent(attempt: Attempt): AnswerEvent? {
        val now = clock.monotonicMillis()
        if (!attempt.nextBy.hasPassed(now)) return null
        val error = StepError(Step.STREAM, peerOf(attempt.ticket), "No token came for ${settings.silenceMillis} ms.")
        if (!latestEnd.hasPassed(now)) return onBroken(attempt, error)
        if (!end(attempt, TicketOutcome.CANCELLED)) return callerGone()
        return failed(Reason.ANSWER_LATE, error)
    }

    private fun noteFailure(
        replica: ReplicaId,
        error: StepError,
    ) {
        lastFailure = error
        excluded += replica
        trail.add(Reason.RETRIED, error)
        parts.listener.onAttemptFailed(trail.requestId, error)
    }

    private fun admitted(ticket: AdmissionTicket) {
        val waited = ticket.waitedMillis
        parts.listener.onAdmitted(trail.requestId, waited)
        if (waited < settings.queuedMillis) return
        trail.add(Reason.QUEUED, StepError(Step.ADMIT, peerOf(ticket), "It waited $waited ms for a place."))
    }

    private fun admissionRequest(resumes: Boolean): AdmissionRequest {
        val firstBy =
            if (resumes) {
                Deadline(
                    clock.monotonicMillis() + plan.firstTokenMillis,
                )
            } else {
                trail.deadlineIn(plan.firstTokenMillis)
            }
        return AdmissionRequest(
            trail.requestId,
            order.caller.customer.id,
            plan,
            order.chat.model,
            order.chat.prefixes,
            ((order.chat.maxTokens ?: settings.defaultMaxTokens) - tokens).coerceAtLeast(1),
            minOf(firstBy, answerBy),
            answerBy,
            excluded.toSet(),
            resumes,
        )
    }

    private fun chatCall(ticket: AdmissionTicket): ChatCall {
        val replica = ticket.replica.replica
        return ChatCall(
            trail.requestId,
            order.chat.body,
            replica.id,
            replica.generation,
            plan.priority,
            delivered.takeIf { it.isNotEmpty() }?.toString(),
            tokens,
        )
    }

    private fun notAdmitted(refusal: Refusal): Refusal {
        if (!mayHaveRun) return refusal
        val reason = if (delivered.isEmpty()) refusal.reason else Reason.ENGINE_FAILED
        return refusal.copy(reason = reason, runState = RunState.MAY_HAVE_RUN)
    }

    private fun tooLateToDispatch(ticket: AdmissionTicket) =
        failed(
            Reason.DEADLINE_UNREACHABLE,
            StepError(Step.DISPATCH, peerOf(ticket), "The time to pass it on ran out while it waited."),
        )

    private fun callerGone() =
        failed(Reason.CALLER_GONE, StepError(Step.STREAM, "caller", "The caller closed the connection."))

    private fun failed(
        reason: Reason,
        error: StepError,
    ) = AnswerEvent.Failed(
        Refusal(reason, if (mayHaveRun) RunState.MAY_HAVE_RUN else RunState.NOT_RUN, error, retryAfter(reason)),
    )

    private fun retryAfter(reason: Reason): Long? =
        RETRY_SECONDS.takeIf { !mayHaveRun && reason.status >= HttpStatus.INTERNAL_ERROR }

    private fun lengthReached(): Boolean = lastFailure != null && tokens >= (order.chat.maxTokens ?: Int.MAX_VALUE)

    private fun closedNow(): Boolean = synchronized(lock) { closed }

    private fun peerOf(ticket: AdmissionTicket): String = ticket.replica.replica.leader.value

    /** Ends [attempt] unless another thread did; returns whether this call ended it. */
    private fun end(
        attempt: Attempt,
        outcome: TicketOutcome,
    ): Boolean {
        val mine =
            synchronized(lock) {
                val same = current === attempt
                if (same) current = null
                same
            }
        if (mine) release(attempt, outcome)
        return mine
    }

    private fun release(
        attempt: Attempt,
        outcome: TicketOutcome,
    ) {
        try {
            attempt.stream.close()
        } finally {
            attempt.ticket.finish(outcome, attempt.tokens)
        }
    }

    private companion object {
        const val LENGTH = "length"
        const val RETRY_SECONDS = 1L

        /** Statuses with which an engine says that the request itself is at fault. */
        val REQUEST_FAULTS = setOf(HttpStatus.BAD_REQUEST, HttpStatus.CONTENT_TOO_LARGE, HttpStatus.UNPROCESSABLE)
    }
}
