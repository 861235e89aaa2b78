/*
 * The decision about a reported outcome: pure functions of the record as it is kept.
 */
package auburnhall.ledger

/** What to do about a reported outcome. */
internal sealed interface CompleteDecision {
    data class Answer(
        val reply: CompleteReply,
    ) : CompleteDecision

    /** [record] must be kept before the outcome is confirmed. */
    data class Keep(
        val record: IntentRecord,
    ) : CompleteDecision
}

/** Decides about [outcome], reported by [request] at [nowMillis] of the wall clock, when [record] is kept. */
internal fun decideCompletion(
    record: IntentRecord?,
    request: IntentRequest,
    outcome: IntentOutcome,
    nowMillis: Long,
): CompleteDecision =
    when {
        record == null -> completeUnknown(outcome)
        record.request != request.requestId -> rejected("the key belongs to request ${record.request}")
        else -> completeKnown(record.copy(atMillis = nowMillis), outcome)
    }

private fun completeUnknown(outcome: IntentOutcome) =
    when (outcome) {
        IntentOutcome.NotRun -> recorded()
        IntentOutcome.MayHaveRun, is IntentOutcome.Done -> rejected("the intent is not known")
    }

private fun completeKnown(
    record: IntentRecord,
    outcome: IntentOutcome,
): CompleteDecision =
    when (outcome) {
        is IntentOutcome.Done -> completeDone(record, outcome.answer)
        IntentOutcome.MayHaveRun -> completeMayHaveRun(record)
        IntentOutcome.NotRun -> completeNotRun(record)
    }

/** An answer may come after the call was given up as unknown; the first answer stays. */
private fun completeDone(
    record: IntentRecord,
    answer: RecordedAnswer,
) = when (record.state) {
    IntentState.RESERVED, IntentState.MAY_HAVE_RUN -> keep(record, IntentState.DONE, answer)
    IntentState.DONE, IntentState.FREED -> recorded()
}

private fun completeMayHaveRun(record: IntentRecord) =
    when (record.state) {
        IntentState.RESERVED -> keep(record, IntentState.MAY_HAVE_RUN)
        IntentState.MAY_HAVE_RUN, IntentState.DONE, IntentState.FREED -> recorded()
    }

private fun completeNotRun(record: IntentRecord) =
    when (record.state) {
        IntentState.RESERVED -> keep(record, IntentState.FREED)
        IntentState.FREED -> recorded()
        IntentState.MAY_HAVE_RUN, IntentState.DONE -> rejected("the call was reported as passed on")
    }

private fun keep(
    record: IntentRecord,
    state: IntentState,
    answer: RecordedAnswer? = null,
) = CompleteDecision.Keep(record.copy(state = state, answer = answer?.toStored()))

private fun recorded() = CompleteDecision.Answer(CompleteReply.Recorded)

private fun rejected(reason: String) = CompleteDecision.Answer(CompleteReply.Rejected(reason))
