/*
 * The ledger of intents: what is written down before a call that may not be repeated is passed on.
 */
package auburnhall.ledger

import auburnhall.core.CustomerId
import auburnhall.core.Deadline
import auburnhall.core.RequestId
import auburnhall.core.RunState
import auburnhall.core.StepError

/** A call that may not be repeated. [bodyDigest] is the SHA-256 of method, path and body in hexadecimal. */
data class IntentRequest(
    val customer: CustomerId,
    val idempotencyKey: String,
    val bodyDigest: String,
    val requestId: RequestId,
)

/** An answer as recorded, given again to every retry. */
data class RecordedAnswer(
    val status: Int,
    val contentType: String,
    val body: ByteArray,
) {
    override fun equals(other: Any?): Boolean =
        other is RecordedAnswer &&
            status == other.status &&
            contentType == other.contentType &&
            body.contentEquals(other.body)

    override fun hashCode(): Int = body.contentHashCode()
}

/** Outcome of asking to dispatch. */
sealed interface Reservation {
    /** The intent is kept. The first byte may be sent until [dispatchBefore], not later. */
    data class Granted(
        val dispatchBefore: Deadline,
    ) : Reservation

    /** The call of [firstRequest] with the same key is still being carried out. */
    data class InProgress(
        val firstRequest: RequestId,
    ) : Reservation

    /** The call of [firstRequest] was passed on and its outcome is not known. */
    data class MayHaveRun(
        val firstRequest: RequestId,
    ) : Reservation

    /** The call ran before; [answer] is what the target said. */
    data class Done(
        val firstRequest: RequestId,
        val answer: RecordedAnswer,
    ) : Reservation

    /** The key was used with another body. */
    data class KeyReused(
        val firstRequest: RequestId,
    ) : Reservation

    /**
     * The intent could not be kept; nothing may be sent.
     *
     * @property runState [RunState.NOT_RUN] only when it is certain that no earlier call with the key was passed on.
     */
    data class Unavailable(
        val error: StepError,
        val runState: RunState = RunState.MAY_HAVE_RUN,
    ) : Reservation
}

/** Outcome of a dispatched call. */
sealed interface IntentOutcome {
    /** It is certain that the target never received the call; the key may be used again. */
    data object NotRun : IntentOutcome

    /** The call was passed on and no answer came. */
    data object MayHaveRun : IntentOutcome

    /** The target answered. */
    data class Done(
        val answer: RecordedAnswer,
    ) : IntentOutcome
}

/** Outcome of recording an [IntentOutcome]. */
sealed interface CompletionResult {
    /** The outcome is kept. */
    data object Recorded : CompletionResult

    /** The outcome could not be kept; later calls with the key are told that it may have run. */
    data class NotRecorded(
        val error: StepError,
    ) : CompletionResult
}

/** The ledger as seen by a traffic thread. */
interface Ledger {
    /** Asks to dispatch [request]; blocks until the intent is kept or refused. */
    fun reserve(request: IntentRequest): Reservation

    /** Records how the call of [request] ended. */
    fun complete(
        request: IntentRequest,
        outcome: IntentOutcome,
    ): CompletionResult
}
