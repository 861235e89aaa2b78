/*
 * How an entry process asks the owner of a ledger shard.
 */
package auburnhall.ledger

import auburnhall.core.ProcessId
import auburnhall.core.RequestId
import auburnhall.membership.Member

/** What the owner of a shard answers to a request that wants to dispatch. */
sealed interface ReserveReply {
    /** The intent is kept; the first byte may be sent within [withinMillis] from when the request first asked. */
    data class Granted(
        val withinMillis: Long,
    ) : ReserveReply

    /** The call of [firstRequest] is being carried out. */
    data class InProgress(
        val firstRequest: RequestId,
    ) : ReserveReply

    /** The call of [firstRequest] was passed on and its outcome is not known. */
    data class MayHaveRun(
        val firstRequest: RequestId,
    ) : ReserveReply

    /** The call ran; [answer] is what the target said to [firstRequest]. */
    data class Done(
        val firstRequest: RequestId,
        val answer: RecordedAnswer,
    ) : ReserveReply

    /** The key was used with another body. */
    data class KeyReused(
        val firstRequest: RequestId,
    ) : ReserveReply

    /** The intent could not be kept in time; nothing may be sent. */
    data class Unavailable(
        val reason: String,
    ) : ReserveReply

    /** The callee does not own the shard. */
    data object NotOwner : ReserveReply

    /** No answer came; the owner may or may not have kept the intent. Only the caller's side says this. */
    data class NoAnswer(
        val reason: String,
    ) : ReserveReply
}

/** What the owner of a shard answers to a reported outcome. */
sealed interface CompleteReply {
    /** The outcome is kept. */
    data object Recorded : CompleteReply

    /** The outcome is not kept and never will be, since it contradicts what is known. */
    data class Rejected(
        val reason: String,
    ) : CompleteReply

    /** The outcome could not be kept in time, or no answer came; a retry is safe. */
    data class Unavailable(
        val reason: String,
    ) : CompleteReply

    /** The callee does not own the shard. */
    data object NotOwner : CompleteReply
}

/** Calls to the owners of shards. Each call blocks until it is answered or has timed out. */
interface LedgerPeers {
    /** Asks [owner] to keep the intent of [request], which the entry process [from] serves. */
    fun reserve(
        owner: Member,
        request: IntentRequest,
        from: ProcessId,
    ): ReserveReply

    /** Reports to [owner] how the call of [request] ended. */
    fun complete(
        owner: Member,
        request: IntentRequest,
        outcome: IntentOutcome,
    ): CompleteReply
}
