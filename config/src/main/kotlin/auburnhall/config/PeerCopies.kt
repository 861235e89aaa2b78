/*
 * What is learnt from other entry processes about the copy.
 */
package auburnhall.config

import auburnhall.core.ProcessId
import auburnhall.membership.CopyExchange
import auburnhall.membership.CopyState
import auburnhall.membership.Member

/** Takes part in heartbeats, and fetches newer copies from peers. */
internal class PeerCopies(
    private val on: ConfigDependencies,
    private val holder: CopyHolder,
) : CopyExchange {
    private val fetching = HashSet<ProcessId>()

    override fun state(): CopyState = holder.copy?.state(on.clock.monotonicMillis()) ?: CopyState.NONE

    override fun onReply(
        peer: Member,
        state: CopyState,
        sentAtMillis: Long,
    ) {
        holder.answers.note(peer.process, state.sequence, sentAtMillis)
        val age = state.confirmedAgeMillis
        if (age != null && state.sequence == holder.sequence) holder.confirm(sentAtMillis - age)
        holder.confirmByVoters()
        onRequest(peer, state)
    }

    /** The age that a request names is of no use: the request may have been long on its way. */
    override fun onRequest(
        peer: Member,
        state: CopyState,
    ) {
        if (state.sequence > holder.sequence && fetching.add(peer.process)) fetch(peer)
    }

    private fun fetch(peer: Member) {
        val sentAt = on.clock.monotonicMillis()
        on.loop.call({ on.peers.fetch(peer) }) { result ->
            fetching -= peer.process
            if (result is FetchResult.Success) onFetched(result.copy, sentAt)
        }
    }

    private fun onFetched(
        fetched: CopyDocument,
        sentAt: Long,
    ) {
        val stored = StoredConfiguration.decode(fetched.document) ?: return
        holder.adopt(stored, fetched.state.confirmedAgeMillis?.let { sentAt - it })
    }
}
