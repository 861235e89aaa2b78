/*
 * Refuses every call that may not be repeated.
 */
package auburnhall.entry

import auburnhall.core.RunState
import auburnhall.core.Step
import auburnhall.core.StepError
import auburnhall.ledger.CompletionResult
import auburnhall.ledger.IntentOutcome
import auburnhall.ledger.IntentRequest
import auburnhall.ledger.Ledger
import auburnhall.ledger.Reservation

/** A [Ledger] without a store: nothing is kept, so nothing may be passed on. */
internal object UnavailableLedger : Ledger {
    private val error = StepError(Step.KEEP_INTENT, "self", "this process keeps no ledger")

    override fun reserve(request: IntentRequest): Reservation = Reservation.Unavailable(error, RunState.NOT_RUN)

    override fun complete(
        request: IntentRequest,
        outcome: IntentOutcome,
    ): CompletionResult = CompletionResult.NotRecorded(error)
}
