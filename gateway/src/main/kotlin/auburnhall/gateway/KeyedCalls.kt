/*
 * Calls with an `Idempotency-Key`. Each is written down in the ledger before it is passed on, and its recorded answer
 * is given again to every retry.
 */
package auburnhall.gateway

import auburnhall.core.Deadline
import auburnhall.core.Reason
import auburnhall.core.Refusal
import auburnhall.core.RunState
import auburnhall.core.Step
import auburnhall.core.StepError
import auburnhall.ledger.CompletionResult
import auburnhall.ledger.IntentOutcome
import auburnhall.ledger.IntentRequest
import auburnhall.ledger.Ledger
import auburnhall.ledger.Reservation

/** Header by which a caller names a call that may not run twice. */
internal const val KEY_HEADER = "Idempotency-Key"

/**
 * Permission to pass a call on, to be completed once its outcome is known.
 *
 * @property dispatchBefore the first byte must not be sent at or after this.
 */
internal class GrantedIntent(
    private val ledger: Ledger,
    private val intent: IntentRequest,
    private val trail: RequestTrail,
    val dispatchBefore: Deadline,
) {
    /** Records [outcome]. When that fails, a retry will be told that the call may have run. */
    fun complete(outcome: IntentOutcome) {
        val result = ledger.complete(intent, outcome)
        if (result is CompletionResult.NotRecorded) trail.add(Reason.STORE_UNAVAILABLE, result.error)
    }
}

/** Runs calls that may not be repeated, each at most once for its `Idempotency-Key`. */
internal class KeyedCalls(
    private val parts: GatewayParts,
) {
    /** Reserves [call] in the ledger, and lets [dispatch] pass it on, which completes the intent. */
    fun run(
        call: Call,
        dispatch: (GrantedIntent) -> Reply,
    ): Reply {
        val key = call.request.header(KEY_HEADER)
        return when {
            key.isNullOrBlank() -> refused(Reason.KEY_REQUIRED, Step.ACCEPT, "caller", "It is missing.", KEY_HEADER)
            !isValid(key) -> refused(Reason.MALFORMED, Step.ACCEPT, "caller", KEY_RULE, KEY_HEADER)
            else -> reserve(call, intentOf(call, key), dispatch)
        }
    }

    private fun reserve(
        call: Call,
        intent: IntentRequest,
        dispatch: (GrantedIntent) -> Reply,
    ): Reply =
        when (val reservation = parts.ledger.reserve(intent)) {
            is Reservation.Granted ->
                dispatch(
                    GrantedIntent(parts.ledger, intent, call.trail, reservation.dispatchBefore),
                )
            is Reservation.Done -> replay(reservation)
            is Reservation.InProgress -> inProgress(reservation)
            is Reservation.MayHaveRun -> mayHaveRun(reservation)
            is Reservation.Unavailable -> unavailable(reservation)
            is Reservation.KeyReused -> keyReused()
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
        const val REPLAYED_HEADER = "Idempotent-Replayed"
        const val KEY_CHARS = 255
        const val KEY_RULE = "It must be at most 255 visible ASCII characters."
        const val RETRY_SECONDS = 1L
        val VISIBLE = '!'..'~'
    }
}
