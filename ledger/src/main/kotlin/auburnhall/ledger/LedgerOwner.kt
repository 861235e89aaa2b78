/*
 * The shards of the ledger at one entry process, as the control thread sees them.
 */
package auburnhall.ledger

import auburnhall.core.ProcessId
import auburnhall.membership.Membership

/** Passes calls to their shard and answers each within 1.5 s, without blocking the calling thread. */
class LedgerOwner(
    private val context: LedgerContext,
    private val membership: Membership,
) {
    private val shards = HashMap<Int, Shard>()

    /** Hands a request over to the control thread; [onReply] comes on it. */
    fun reserve(
        request: IntentRequest,
        from: ProcessId,
        onReply: (ReserveReply) -> Unit,
    ) = context.loop.execute {
        val answer = Answer(onReply)
        context.loop.after(LedgerTimes.OWNER_BUDGET_MILLIS) { answer.give(ReserveReply.Unavailable(NO_STORE)) }
        shard(shardOf(request.key)).reserve(request, from, answer)
    }

    /** Hands an outcome over to the control thread; [onReply] comes on it. */
    fun complete(
        request: IntentRequest,
        outcome: IntentOutcome,
        onReply: (CompleteReply) -> Unit,
    ) = context.loop.execute {
        val answer = Answer(onReply)
        context.loop.after(LedgerTimes.OWNER_BUDGET_MILLIS) { answer.give(CompleteReply.Unavailable(NO_STORE)) }
        shard(shardOf(request.key)).complete(request, outcome, answer)
    }

    private fun shard(number: Int): Shard =
        shards.getOrPut(number) { Shard(ShardOwnership(number, context) { isFirst(number) }) }

    private fun isFirst(shard: Int): Boolean {
        val view = membership.view()
        return view.ranked(rankingKey(shard)).first().process == view.self.process
    }

    private companion object {
        const val NO_STORE = "the key-value service did not confirm in time"
    }
}

/** The shard of [key]. */
internal fun shardOf(key: IntentKey): Int {
    val hash = "${key.customer}\n${key.idempotencyKey}".hashCode()
    return Math.floorMod(hash xor (hash ushr Short.SIZE_BITS), LedgerSizes.SHARDS)
}

/** What members are ranked by for the ownership of [shard]. */
internal fun rankingKey(shard: Int): String = "ledger/$shard"
