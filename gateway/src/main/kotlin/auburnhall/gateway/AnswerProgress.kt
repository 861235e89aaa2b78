/*
 * How far one answer has come: the text delivered, the replicas that failed it, and whether any of them may have run
 * it.
 */
package auburnhall.gateway

import auburnhall.core.HttpStatus
import auburnhall.core.Reason
import auburnhall.core.Refusal
import auburnhall.core.ReplicaId
import auburnhall.core.RunState
import auburnhall.core.Step
import auburnhall.core.StepError
import auburnhall.engine.ChatEvent
import auburnhall.limits.AdmissionTicket

/** The progress of one answer; used by the thread that serves it. */
internal class AnswerProgress(
    private val parts: GatewayParts,
    private val caller: Authenticated,
) {
    private val trail = caller.arrival.trail
    private val plan = caller.plan
    private val delivered = StringBuilder()
    private var lastTokenAt = 0L

    /** Replicas that failed this answer. */
    val excluded = HashSet<ReplicaId>()

    /** Attempts begun. */
    var attempts = 0

    /** Generated tokens delivered. */
    var tokens = 0
        private set

    /** Whether any replica may have received the request. */
    var mayHaveRun = false

    /** Why the last attempt failed; null as long as none has. */
    var lastFailure: StepError? = null
        private set

    /** The text delivered. */
    val text: String get() = delivered.toString()

    /** A place was given. */
    fun onAdmitted(ticket: AdmissionTicket) {
        val waited = ticket.waitedMillis
        parts.listener.onAdmitted(trail.requestId, waited)
        if (waited < parts.settings.queuedMillis) return
        trail.add(Reason.QUEUED, StepError(Step.ADMIT, peerOf(ticket), "It waited $waited ms for a place."))
    }

    /** [event] is about to be delivered. */
    fun onText(
        attempt: Attempt,
        event: ChatEvent.Text,
    ) {
        val now = parts.clock.monotonicMillis()
        if (attempt.tokens == 0) attempt.ticket.onFirstToken()
        if (tokens == 0) onFirstToken(attempt) else parts.listener.onToken(now - lastTokenAt)
        lastTokenAt = now
        attempt.tokens += event.tokens
        tokens += event.tokens
        trail.tokens = tokens
        delivered.append(event.text)
    }

    /** The answer is whole. */
    fun onFinished(attempt: Attempt) {
        val took = trail.elapsedMillis()
        if (took <= plan.answerMillis) return
        val message = "The answer was complete after $took ms instead of ${plan.answerMillis} ms."
        trail.add(Reason.SLOW_REPLICA, StepError(Step.FINISH, attempt.peer, message))
    }

    /** [replica] failed this answer. */
    fun onAttemptFailed(
        replica: ReplicaId,
        error: StepError,
    ) {
        lastFailure = error
        excluded += replica
        trail.add(Reason.RETRIED, error)
        parts.listener.onAttemptFailed(trail.requestId, error)
    }

    /** The end of an answer that found no place. */
    fun notAdmitted(refusal: Refusal): AnswerEvent {
        val reason = if (delivered.isEmpty()) refusal.reason else Reason.ENGINE_FAILED
        val runState = if (mayHaveRun) RunState.MAY_HAVE_RUN else refusal.runState
        return AnswerEvent.Failed(refusal.copy(reason = reason, runState = runState))
    }

    /** The end of an answer whose caller hung up. */
    fun callerGone(): AnswerEvent =
        failed(Reason.CALLER_GONE, StepError(Step.STREAM, "caller", "The caller hung up after $tokens tokens."))

    /** The end of an answer that failed for [reason]. */
    fun failed(
        reason: Reason,
        error: StepError,
    ): AnswerEvent {
        val runState = if (mayHaveRun) RunState.MAY_HAVE_RUN else RunState.NOT_RUN
        val retry = RETRY_SECONDS.takeIf { !mayHaveRun && reason.status >= HttpStatus.INTERNAL_ERROR }
        return AnswerEvent.Failed(Refusal(reason, runState, error, retry))
    }

    private fun onFirstToken(attempt: Attempt) {
        val took = trail.elapsedMillis()
        parts.listener.onFirstToken(trail.requestId, took)
        if (took <= plan.firstTokenMillis) return
        val message = "The first token came after $took ms instead of ${plan.firstTokenMillis} ms."
        trail.add(Reason.SLOW_REPLICA, StepError(Step.STREAM, attempt.peer, message))
    }

    private fun peerOf(ticket: AdmissionTicket): String = ticket.replica.replica.leader.value

    private companion object {
        const val RETRY_SECONDS = 1L
    }
}
