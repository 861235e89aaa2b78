/*
 * The shards of the ledger that this entry process owns, as seen by the threads that serve other entry processes.
 */
package auburnhall.ledger

import auburnhall.core.ProcessId
import auburnhall.membership.Membership
import java.util.concurrent.CompletableFuture
import java.util.concurrent.TimeUnit
import java.util.concurrent.TimeoutException

/** Serves the calls of [LedgerPeers] at their receiver. Both calls block for less than 2 s. */
interface LedgerShards {
    /** Answers a request that the entry process [from] wants to dispatch. */
    fun reserve(
        request: IntentRequest,
        from: ProcessId,
    ): ReserveReply

    /** Records how the call of [request] ended. */
    fun complete(
        request: IntentRequest,
        outcome: IntentOutcome,
    ): CompleteReply
}

/** Returns [LedgerShards] that own nothing until they are asked. */
fun LedgerShards(
    membership: Membership,
    context: LedgerContext,
): LedgerShards = RealLedgerShards(LedgerOwner(context, membership))

internal class RealLedgerShards(
    private val owner: LedgerOwner,
) : LedgerShards {
    override fun reserve(
        request: IntentRequest,
        from: ProcessId,
    ): ReserveReply {
        val reply = CompletableFuture<ReserveReply>()
        owner.reserve(request, from) { reply.complete(it) }
        return await(reply) { ReserveReply.NoAnswer(BUSY) }
    }

    override fun complete(
        request: IntentRequest,
        outcome: IntentOutcome,
    ): CompleteReply {
        val reply = CompletableFuture<CompleteReply>()
        owner.complete(request, outcome) { reply.complete(it) }
        return await(reply) { CompleteReply.Unavailable(BUSY) }
    }

    private fun <T> await(
        reply: CompletableFuture<T>,
        onTimeout: () -> T,
    ): T =
        try {
            reply.get(LedgerTimes.OWNER_BUDGET_MILLIS + GRACE_MILLIS, TimeUnit.MILLISECONDS)
        } catch (_: TimeoutException) {
            onTimeout()
        }

    private companion object {
        const val GRACE_MILLIS = 300L
        const val BUSY = "the control thread did not answer in time"
    }
}
