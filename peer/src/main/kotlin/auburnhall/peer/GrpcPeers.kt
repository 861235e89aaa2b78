/*
 * The other entry processes as the modules ask them, over gRPC.
 */
package auburnhall.peer

import auburnhall.config.ConfigPeers
import auburnhall.config.CopyDocument
import auburnhall.config.FetchResult
import auburnhall.core.Explanation
import auburnhall.core.ProcessId
import auburnhall.core.RequestId
import auburnhall.core.Step
import auburnhall.core.StepError
import auburnhall.explain.ExplanationJson
import auburnhall.explain.ExplanationPeers
import auburnhall.explain.KeepResult
import auburnhall.limits.BorrowResult
import auburnhall.limits.ShareDemand
import auburnhall.limits.ShareLender
import auburnhall.membership.Heartbeat
import auburnhall.membership.HeartbeatResult
import auburnhall.membership.Member
import auburnhall.membership.MembershipPeers
import auburnhall.proto.peer.BorrowSharesRequest
import auburnhall.proto.peer.FetchConfigRequest
import auburnhall.proto.peer.FindExplanationRequest
import auburnhall.proto.peer.KeepExplanationsRequest
import com.google.protobuf.ByteString

private const val SHORT_CALL_MILLIS = 1_000L
private const val EXPLAIN_CALL_MILLIS = 2_000L

/** Heartbeats over [channels]. */
class GrpcMembershipPeers(
    private val channels: PeerChannels,
) : MembershipPeers {
    override fun heartbeat(
        peer: Member,
        heartbeat: Heartbeat,
    ): HeartbeatResult {
        val request = heartbeat.toRequest()
        val result =
            channels.call(peer.peerAddress, Step.READ_CONFIGURATION, SHORT_CALL_MILLIS) { it.heartbeat(request) }
        return when (result) {
            is PeerResult.Success -> HeartbeatResult.Success(result.value.toHeartbeat())
            is PeerResult.Error -> HeartbeatResult.Error(result.error)
        }
    }
}

/** Copies of the configuration over [channels]. */
class GrpcConfigPeers(
    private val channels: PeerChannels,
) : ConfigPeers {
    override fun fetch(peer: Member): FetchResult {
        val request = FetchConfigRequest.getDefaultInstance()
        val result =
            channels.call(peer.peerAddress, Step.READ_CONFIGURATION, SHORT_CALL_MILLIS) { it.fetchConfig(request) }
        return when (result) {
            is PeerResult.Error -> FetchResult.Error(result.error)
            is PeerResult.Success -> {
                val reply = result.value
                if (reply.document.isEmpty) {
                    FetchResult.Error(StepError(Step.READ_CONFIGURATION, peer.peerAddress, "the peer has no copy"))
                } else {
                    val state = copyState(reply.configVersion, reply.storeAgeMs)
                    FetchResult.Success(CopyDocument(state, reply.document.toByteArray()))
                }
            }
        }
    }
}

/** Shares of limits over [channels]. */
class GrpcShareLender(
    private val channels: PeerChannels,
) : ShareLender {
    override fun borrow(
        owner: Member,
        borrower: ProcessId,
        demands: List<ShareDemand>,
    ): BorrowResult {
        val request =
            BorrowSharesRequest
                .newBuilder()
                .setProcess(borrower.value)
                .addAllDemands(demands.map { it.toMessage() })
                .build()
        val result = channels.call(owner.peerAddress, Step.ADMIT, SHORT_CALL_MILLIS) { it.borrowShares(request) }
        return when (result) {
            is PeerResult.Success -> BorrowResult.Granted(result.value.grantsList.map { it.toGrant() })
            is PeerResult.Error -> BorrowResult.Error(result.error)
        }
    }
}

/** Explanation records over [channels]. */
class GrpcExplanationPeers(
    private val channels: PeerChannels,
) : ExplanationPeers {
    override fun keep(
        member: Member,
        records: List<Explanation>,
    ): KeepResult {
        val request =
            KeepExplanationsRequest
                .newBuilder()
                .addAllRecords(records.map { ByteString.copyFrom(ExplanationJson.encode(it)) })
                .build()
        val result =
            channels.call(member.peerAddress, Step.EXPLAIN, EXPLAIN_CALL_MILLIS) { it.keepExplanations(request) }
        return when (result) {
            is PeerResult.Success -> KeepResult.Success
            is PeerResult.Error -> KeepResult.Error(result.error.toString())
        }
    }

    override fun find(
        member: Member,
        requestId: RequestId,
    ): List<Explanation> {
        val request = FindExplanationRequest.newBuilder().setRequestId(requestId.value).build()
        val result =
            channels.call(member.peerAddress, Step.EXPLAIN, EXPLAIN_CALL_MILLIS) { it.findExplanation(request) }
        return when (result) {
            is PeerResult.Success -> result.value.recordsList.mapNotNull { ExplanationJson.decode(it.toByteArray()) }
            is PeerResult.Error -> emptyList()
        }
    }
}
