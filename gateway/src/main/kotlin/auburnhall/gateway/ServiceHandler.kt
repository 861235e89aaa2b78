/*
 * Serves calls to plain services. A call that may be repeated is tried at several instances. Any other is written down
 * in the ledger first and sent at most once, unless it is certain that nothing was sent.
 */
package auburnhall.gateway

import auburnhall.core.Deadline
import auburnhall.core.Reason
import auburnhall.core.Refusal
import auburnhall.core.RunState
import auburnhall.core.ServiceInstance
import auburnhall.core.ServiceSpec
import auburnhall.core.Step
import auburnhall.core.StepError
import auburnhall.ledger.CompletionResult
import auburnhall.ledger.IntentOutcome
import auburnhall.ledger.IntentRequest
import auburnhall.ledger.RecordedAnswer
import auburnhall.ledger.Reservation
import java.util.concurrent.atomic.AtomicInteger

/** Serves `/services/{name}/{path}`. */
internal class ServiceHandler(
    private val parts: GatewayParts,
) {
    private val orders = KeyedCalls(parts)
    private val turn = AtomicInteger()

    /** Answers [call]. */
    fun handle(call: Call): Reply {
        val name =
            call.request.uri.path
                .removePrefix(PREFIX)
                .substringBefore('/')
        call.trail.target = name
        val spec =
            call.caller.index.configuration.usage.services
                .firstOrNull { it.name == name }
                ?: return refused(Reason.UNKNOWN_TARGET, Step.AUTHORISE, name, "The service is not configured.")
        if (name !in call.caller.grant.services) {
            return refused(Reason.NOT_IN_PLAN, Step.AUTHORISE, name, "The plan does not name the service.")
        }
        return dispatch(call, spec)
    }

    private fun dispatch(
        call: Call,
        spec: ServiceSpec,
    ): Reply {
        val dispatch = ServiceDispatch(parts, call, instances(spec.name))
        val repeatable = spec.idempotentMethods.any { it.equals(call.request.method.name, ignoreCase = true) }
        if (repeatable) return dispatch.replyOf(dispatch.run(null))
        return orders.run(call) { before -> dispatch.keyed(before) }
    }

    /** Instances of this data centre first, each group beginning at the next one's turn. */
    private fun instances(service: String): List<ServiceInstance> {
        val all = parts.fleet().services.filter { it.service == service }
        val (near, far) = all.partition { it.dataCentre == parts.dataCentre }
        val by = turn.getAndIncrement() and Int.MAX_VALUE
        return rotated(near, by) + rotated(far, by)
    }

    private fun rotated(
        list: List<ServiceInstance>,
        by: Int,
    ): List<ServiceInstance> = if (list.isEmpty()) list else (by % list.size).let { list.drop(it) + list.take(it) }

    private companion object {
        const val PREFIX = "/services/"
    }
}

/** One call at the instances of its service. */
internal class ServiceDispatch(
    private val parts: GatewayParts,
    private val call: Call,
    private val instances: List<ServiceInstance>,
) {
    private val service = call.trail.target
    private val answerBy = call.trail.deadlineIn(call.caller.plan.answerMillis)

    /** Tries instances in turn. With [before] set, only as long as certainly no byte was sent. */
    fun run(before: Deadline?): ServiceResult {
        var last: ServiceResult = ServiceResult.NotSent(StepError(Step.ROUTE, service, "No instance is known."))
        for ((i, instance) in instances.take(parts.settings.attempts).withIndex()) {
            if (i > 0 && !mayRetry(last, before)) return last
            if (i > 0) parts.listener.onRetry(call.trail.requestId)
            last = send(instance, before)
            note(last)
        }
        return last
    }

    private fun send(
        instance: ServiceInstance,
        before: Deadline?,
    ): ServiceResult {
        if (before?.hasPassed(parts.clock.monotonicMillis()) != true) {
            return parts.services.call(serviceCall(instance, before))
        }
        return ServiceResult.NotSent(StepError(Step.DISPATCH, instance.id.value, "The time to pass it on ran out."))
    }

    /** The outcome of the call for the ledger, and the reply for the caller. */
    fun keyed(before: Deadline): KeyedResult {
        val result = run(before)
        val reply = replyOf(result, Reason.OUTCOME_UNKNOWN)
        return when (result) {
            is ServiceResult.Answered -> KeyedResult(IntentOutcome.Done(recorded(result)), reply)
            is ServiceResult.NotSent -> KeyedResult(IntentOutcome.NotRun, reply)
            is ServiceResult.MayHaveBeenReceived -> KeyedResult(IntentOutcome.MayHaveRun, reply)
        }
    }

    /** What the caller is told of [result]; [unknown] is the reason given when the outcome is not known. */
    fun replyOf(
        result: ServiceResult,
        unknown: Reason = Reason.TARGET_FAILED,
    ): Reply =
        when (result) {
            is ServiceResult.Answered -> Reply.Whole(result.status, result.contentType, result.body, result.headers)
            is ServiceResult.NotSent ->
                Reply.Refused(
                    Refusal(Reason.NO_SERVICE_INSTANCE, RunState.NOT_RUN, result.error, RETRY_SECONDS),
                )
            is ServiceResult.MayHaveBeenReceived -> Reply.Refused(Refusal(unknown, RunState.MAY_HAVE_RUN, result.error))
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
                is ServiceResult.MayHaveBeenReceived -> result.error
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
        path(),
        forwardedHeaders(call),
        call.body,
        answerBy,
        before,
        fresh = before != null,
    )

    private fun path(): String {
        val uri = call.request.uri
        val path = "/" + uri.path.removePrefix("/services/$service").removePrefix("/")
        return if (uri.query.isEmpty()) path else "$path?${uri.query}"
    }

    private fun recorded(answer: ServiceResult.Answered) =
        RecordedAnswer(answer.status, answer.contentType, answer.body)

    private companion object {
        const val RETRY_SECONDS = 1L
    }
}

/** What a keyed call came to: [outcome] for the ledger and [reply] for the caller. */
internal class KeyedResult(
    val outcome: IntentOutcome,
    val reply: Reply,
)

/** Runs calls that may not be repeated, each at most once for its `Idempotency-Key`. */
internal class KeyedCalls(
    private val parts: GatewayParts,
) {
    /** Reserves [call] in the ledger, lets [dispatch] pass it on and records the outcome. */
    fun run(
        call: Call,
        dispatch: (Deadline) -> KeyedResult,
    ): Reply {
        val key = call.request.header(KEY_HEADER)
        if (key.isNullOrBlank()) {
            return refused(
                Reason.KEY_REQUIRED,
                Step.ACCEPT,
                "caller",
                "It is missing.",
                KEY_HEADER,
            )
        }
        if (!isValid(key)) return refused(Reason.MALFORMED, Step.ACCEPT, "caller", KEY_RULE, KEY_HEADER)
        return reserve(call, intentOf(call, key), dispatch)
    }

    private fun reserve(
        call: Call,
        intent: IntentRequest,
        dispatch: (Deadline) -> KeyedResult,
    ): Reply =
        when (val reservation = parts.ledger.reserve(intent)) {
            is Reservation.Granted -> carryOut(call, intent, reservation.dispatchBefore, dispatch)
            is Reservation.Done -> replay(reservation)
            is Reservation.InProgress -> inProgress(reservation)
            is Reservation.MayHaveRun -> mayHaveRun(reservation)
            is Reservation.Unavailable -> unavailable(reservation)
            is Reservation.KeyReused -> keyReused()
        }

    private fun carryOut(
        call: Call,
        intent: IntentRequest,
        before: Deadline,
        dispatch: (Deadline) -> KeyedResult,
    ): Reply {
        val result = dispatch(before)
        val completion = parts.ledger.complete(intent, result.outcome)
        if (completion is CompletionResult.NotRecorded) call.trail.add(Reason.STORE_UNAVAILABLE, completion.error)
        return result.reply
    }

    private fun replay(done: Reservation.Done): Reply {
        val headers = listOf(HeaderField(REPLAYED_HEADER, "true"))
        return Reply.Whole(done.answer.status, done.answer.contentType, done.answer.body, headers)
    }

    private fun inProgress(reservation: Reservation.InProgress): Reply {
        val error = StepError(Step.KEEP_INTENT, "ledger", "Request ${reservation.firstRequest} is carrying it out.")
        return Reply.Refused(Refusal(Reason.IN_PROGRESS, RunState.MAY_HAVE_RUN, error, RETRY_SECONDS))
    }

    private fun mayHaveRun(reservation: Reservation.MayHaveRun): Reply {
        val error = StepError(Step.KEEP_INTENT, "ledger", "Request ${reservation.firstRequest} passed it on.")
        return Reply.Refused(Refusal(Reason.OUTCOME_UNKNOWN, RunState.MAY_HAVE_RUN, error))
    }

    private fun unavailable(reservation: Reservation.Unavailable): Reply =
        Reply.Refused(Refusal(Reason.STORE_UNAVAILABLE, reservation.runState, reservation.error, RETRY_SECONDS))

    private fun keyReused(): Reply =
        refused(Reason.KEY_REUSED, Step.KEEP_INTENT, "ledger", "Use a new key for a new order.", KEY_HEADER)

    private fun intentOf(
        call: Call,
        key: String,
    ): IntentRequest {
        val head = "${call.request.method} ${call.request.uri.path}?${call.request.uri.query}\n"
        val digest = sha256(head.toByteArray(), call.body)
        return IntentRequest(call.caller.customer.id, key, digest, call.trail.requestId)
    }

    private fun isValid(key: String): Boolean = key.length <= KEY_CHARS && key.all { it in VISIBLE }

    private companion object {
        const val KEY_HEADER = "Idempotency-Key"
        const val REPLAYED_HEADER = "Idempotent-Replayed"
        const val KEY_CHARS = 255
        const val KEY_RULE = "It must be at most 255 visible ASCII characters."
        const val RETRY_SECONDS = 1L
        val VISIBLE = '!'..'~'
    }
}
