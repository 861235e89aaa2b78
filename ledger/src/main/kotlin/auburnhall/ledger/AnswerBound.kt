/*
 * The bound on recorded answers.
 */
package auburnhall.ledger

import auburnhall.core.RequestId

/**
 * The outcome as it is recorded. Of an answer longer than [LedgerSizes.ANSWER_BYTES] only the status is kept, with a
 * text that says so: a retry learns that the call ran and how it ended, but not the words.
 */
internal fun IntentOutcome.withBoundedAnswer(request: RequestId): IntentOutcome =
    when (this) {
        IntentOutcome.NotRun, IntentOutcome.MayHaveRun -> this
        is IntentOutcome.Done ->
            if (answer.body.size <= LedgerSizes.ANSWER_BYTES) this else IntentOutcome.Done(answer.withoutBody(request))
    }

private fun RecordedAnswer.withoutBody(request: RequestId): RecordedAnswer {
    val text =
        "Request $request ran and was answered with status $status. " +
            "Its answer of ${body.size} bytes was too large to be kept."
    return RecordedAnswer(status, "text/plain; charset=utf-8", text.encodeToByteArray())
}
