/*
 * Sends one call to the instances of a plain service. A call that may be repeated is tried at several of them; any
 * other is sent at most once, unless it is certain that nothing was sent.
 */
package auburnhall.gateway

import auburnhall.core.Deadline
import auburnhall.core.Reason
import auburnhall.core.Refusal
import auburnhall.core.RunState
import auburnhall.core.ServiceInstance
import auburnhall.core.Step
import auburnhall.core.StepError
import auburnhall.ledger.IntentOutcome
import auburnhall.ledger.RecordedAnswer

/** One call at the instances of its service. */
internal class ServiceDispatch(
    private val parts: GatewayParts,
    private val call: Call,
    private val instances: List<ServiceInstance>,
) {
    private val service = call.trail.target
    private var mayHaveRun = false
    private val answerBy = call.trail.deadlineIn(call.caller.plan.answerMillis)

    /** Sends a call that may be repeated. */
    fun repeatable(): Reply = replyOf(run(null), Reason.TARGET_FAILED)

    /** Sends a call that may not be repeated, and records in [intent] what came of it. */
    fun once(intent: GrantedIntent): Reply {
        val result = run(intent.dispatchBefore)
        intent.complete(outcomeOf(result))
        return replyOf(result, Reason.OUTCOME_UNKNOWN)
    }

    /** Tries instances in turn. With [before] set, only as long as certainly no byte was sent. */
    private fun run(before: Deadline?): ServiceResult {
        var last: ServiceResult = ServiceResult.NotSent(StepError(Step.ROUTE, service, "No instance is known."))
        for ((i, instance) in instances.take(parts.settings.attempts).withIndex()) {
            if (i > 0 && !mayRetry(last, before)) return last
            if (i > 0) parts.listener.onRetry(call.trail.requestId)
            last = send(instance, before)
            note(last)
        }
        return last
    }

    /** The check of [before] is the last thing done before the call is handed over. */
    private fun send(
        instance: ServiceInstance,
        before: Deadline?,
    ): ServiceResult {
        val out = serviceCall(instance, before)
        if (before?.hasPassed(parts.clock.monotonicMillis()) != true) return parts.services.call(out)
        return ServiceResult.NotSent(StepError(Step.DISPATCH, instance.id.value, "The time to pass it on ran out."))
    }

    private fun outcomeOf(result: ServiceResult): IntentOutcome =
        when (result) {
            is ServiceResult.Answered ->
                IntentOutcome.Done(RecordedAnswer(result.status, result.contentType, result.body))
            is ServiceResult.NotSent -> IntentOutcome.NotRun
            is ServiceResult.MayHaveBeenReceived -> IntentOutcome.MayHaveRun
        }

    private fun replyOf(
        result: ServiceResult,
        unknown: Reason,
    ): Reply =
        when (result) {
            is ServiceResult.Answered -> Reply.Whole(result.status, result.contentType, result.body, result.headers)
            is ServiceResult.NotSent -> notSent(result.error)
            is ServiceResult.MayHaveBeenReceived -> Reply.Refused(Refusal(unknown, RunState.MAY_HAVE_RUN, result.error))
        }

    /** An earlier attempt of this call may have been received, even when the last one was not sent. */
    private fun notSent(error: StepError): Reply {
        val runState = if (mayHaveRun) RunState.MAY_HAVE_RUN else RunState.NOT_RUN
        return Reply.Refused(Refusal(Reason.NO_SERVICE_INSTANCE, runState, error, RETRY_SECONDS))
    }

    private fun mayRetry(
        last: ServiceResult,
        before: Deadline?,
    ): Boolean {
        val now = parts.clock.monotonicMillis()
        return when (last) {
            is ServiceResult.Answered -> false
            is ServiceResult.NotSent -> !answerBy.hasPassed(now) && before?.hasPassed(now) != true
            is ServiceResult.MayHaveBeenReceived -> before == null && !answerBy.hasPassed(now)
        }
    }

    private fun note(result: ServiceResult) {
        val error =
            when (result) {
                is ServiceResult.Answered -> return
                is ServiceResult.NotSent -> result.error
                is ServiceResult.MayHaveBeenReceived -> {
                    mayHaveRun = true
                    result.error
                }
            }
        call.trail.add(Reason.TARGET_FAILED, error)
        parts.listener.onAttemptFailed(call.trail.requestId, error)
    }

    private fun serviceCall(
        instance: ServiceInstance,
        before: Deadline?,
    ) = ServiceCall(
        instance.address,
        call.request.method.name,
        servicePath(call.request.uri, service),
        forwardedHeaders(call),
        call.body,
        answerBy,
        before,
        fresh = before != null,
    )

    private companion object {
        const val RETRY_SECONDS = 1L
    }
}
