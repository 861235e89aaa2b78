/*
 * One shard of the ledger at one entry process: answers calls while this process owns the shard. Runs on the control
 * thread.
 */
package auburnhall.ledger

import auburnhall.core.ProcessId

/** The answer to one call; only the first that is given is sent. */
internal class Answer<T>(
    private val send: (T) -> Unit,
) {
    var isGiven = false
        private set

    /** Returns false when an answer was given before. */
    fun give(reply: T): Boolean {
        val isFirst = !isGiven
        isGiven = true
        if (isFirst) send(reply)
        return isFirst
    }
}

internal class Shard(
    private val ownership: ShardOwnership,
) {
    /** Asks to dispatch [request], served by [from]. */
    fun reserve(
        request: IntentRequest,
        from: ProcessId,
        answer: Answer<ReserveReply>,
    ) {
        val again = { if (!answer.isGiven) reserve(request, from, answer) }
        val held = ownership.ownedOr(again) { answer.give(reserveRefusal(it)) } ?: return
        if (held.log.whenSettled(request.key, again)) return
        when (val decision = held.table.reserve(request, from)) {
            is ReserveDecision.Answer -> answer.give(decision.reply)
            is ReserveDecision.Keep -> keepReservation(held, request, decision.record, answer)
        }
    }

    /** Records [outcome] of [request]. */
    fun complete(
        request: IntentRequest,
        outcome: IntentOutcome,
        answer: Answer<CompleteReply>,
    ) {
        val again = { complete(request, outcome, answer) }
        val held = ownership.ownedOr(again) { answer.give(completeRefusal(it)) } ?: return
        if (held.log.whenSettled(request.key, again)) return
        when (val decision = held.table.complete(request, outcome)) {
            is CompleteDecision.Answer -> answer.give(decision.reply)
            is CompleteDecision.Keep -> keepOutcome(held, decision.record, answer)
        }
    }

    private fun reserveRefusal(reason: String?) =
        if (reason == null) ReserveReply.NotOwner else ReserveReply.Unavailable(reason)

    private fun completeRefusal(reason: String?) =
        if (reason == null) CompleteReply.NotOwner else CompleteReply.Unavailable(reason)

    /** A reservation that is kept after its request gave up was never granted, so its key is freed at once. */
    private fun keepReservation(
        held: OwnedShard,
        request: IntentRequest,
        record: IntentRecord,
        answer: Answer<ReserveReply>,
    ) = held.log.append(
        Append(record, isWanted = { !answer.isGiven }) { result ->
            when (result) {
                is AppendResult.Kept -> {
                    held.table.put(record, result.segment)
                    if (!answer.give(granted())) complete(request, IntentOutcome.NotRun, Answer {})
                }
                is AppendResult.Refused -> answer.give(ReserveReply.Unavailable(result.message))
                AppendResult.NotOwner -> answer.give(ReserveReply.NotOwner)
            }
        },
    )

    private fun keepOutcome(
        held: OwnedShard,
        record: IntentRecord,
        answer: Answer<CompleteReply>,
    ) = held.log.append(
        Append(record, isWanted = { true }) { result ->
            when (result) {
                is AppendResult.Kept -> {
                    held.table.put(record, result.segment)
                    answer.give(CompleteReply.Recorded)
                }
                is AppendResult.Refused -> answer.give(CompleteReply.Unavailable(result.message))
                AppendResult.NotOwner -> answer.give(CompleteReply.NotOwner)
            }
        },
    )
}
