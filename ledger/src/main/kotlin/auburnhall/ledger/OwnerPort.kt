/*
 * Calls to the owner of a shard, be it this process or another.
 */
package auburnhall.ledger

import auburnhall.membership.Member
import auburnhall.membership.Membership

internal class OwnerPort(
    private val membership: Membership,
    private val shards: LedgerShards,
    private val peers: LedgerPeers,
) {
    /** The process that should own the shard of [request] in this process's present view. */
    fun ownerOf(request: IntentRequest): Member = membership.view().ranked(rankingKey(shardOf(request.key))).first()

    fun reserve(
        owner: Member,
        request: IntentRequest,
    ): ReserveReply {
        val self = membership.view().self.process
        return if (owner.process == self) shards.reserve(request, self) else peers.reserve(owner, request, self)
    }

    fun complete(
        owner: Member,
        request: IntentRequest,
        outcome: IntentOutcome,
    ): CompleteReply =
        if (owner.process == membership.view().self.process) {
            shards.complete(request, outcome)
        } else {
            peers.complete(owner, request, outcome)
        }
}
