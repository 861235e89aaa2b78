/*
 * Answers other entry processes by handing their calls to the modules.
 */
package auburnhall.peer

import auburnhall.config.ConfigController
import auburnhall.core.ProcessId
import auburnhall.core.RequestId
import auburnhall.explain.ExplanationJson
import auburnhall.explain.ExplanationStore
import auburnhall.ledger.LedgerShards
import auburnhall.limits.ShareOwner
import auburnhall.membership.MembershipController
import auburnhall.proto.peer.BorrowSharesReply
import auburnhall.proto.peer.BorrowSharesRequest
import auburnhall.proto.peer.CompleteIntentReply
import auburnhall.proto.peer.CompleteIntentRequest
import auburnhall.proto.peer.FetchConfigReply
import auburnhall.proto.peer.FetchConfigRequest
import auburnhall.proto.peer.FetchLoadRequest
import auburnhall.proto.peer.FindExplanationReply
import auburnhall.proto.peer.FindExplanationRequest
import auburnhall.proto.peer.HeartbeatReply
import auburnhall.proto.peer.HeartbeatRequest
import auburnhall.proto.peer.KeepExplanationsReply
import auburnhall.proto.peer.KeepExplanationsRequest
import auburnhall.proto.peer.LoadReport
import auburnhall.proto.peer.PeerGrpc
import auburnhall.proto.peer.ReserveIntentReply
import auburnhall.proto.peer.ReserveIntentRequest
import com.google.protobuf.ByteString
import io.grpc.stub.StreamObserver

/** The modules that answer peers. */
data class PeerParts(
    val membership: MembershipController,
    val config: ConfigController,
    val shares: ShareOwner,
    val explanations: ExplanationStore,
    val loadNews: LoadNews,
    val ledger: LedgerShards,
)

/** The gRPC service of an entry process. */
class PeerService(
    private val parts: PeerParts,
) : PeerGrpc.PeerImplBase() {
    override fun heartbeat(
        request: HeartbeatRequest,
        observer: StreamObserver<HeartbeatReply>,
    ) = observer.answer(parts.membership.onHeartbeat(request.toHeartbeat()).toReply())

    override fun fetchConfig(
        request: FetchConfigRequest,
        observer: StreamObserver<FetchConfigReply>,
    ) {
        val copy = parts.config.document()
        val reply = FetchConfigReply.newBuilder()
        if (copy != null) {
            reply.configVersion = copy.state.sequence
            reply.storeAgeMs = copy.state.confirmedAgeMillis ?: UNKNOWN_AGE_MILLIS
            reply.document = ByteString.copyFrom(copy.document)
        }
        observer.answer(reply.build())
    }

    override fun fetchLoad(
        request: FetchLoadRequest,
        observer: StreamObserver<LoadReport>,
    ) = observer.answer(parts.loadNews.answer(request))

    override fun borrowShares(
        request: BorrowSharesRequest,
        observer: StreamObserver<BorrowSharesReply>,
    ) {
        val grants = parts.shares.lend(ProcessId(request.process), request.demandsList.map { it.toDemand() })
        observer.answer(BorrowSharesReply.newBuilder().addAllGrants(grants.map { it.toMessage() }).build())
    }

    override fun reserveIntent(
        request: ReserveIntentRequest,
        observer: StreamObserver<ReserveIntentReply>,
    ) = observer.answer(reserveIntent(parts.ledger, request))

    override fun completeIntent(
        request: CompleteIntentRequest,
        observer: StreamObserver<CompleteIntentReply>,
    ) = observer.answer(completeIntent(parts.ledger, request))

    override fun keepExplanations(
        request: KeepExplanationsRequest,
        observer: StreamObserver<KeepExplanationsReply>,
    ) {
        request.recordsList.mapNotNull { ExplanationJson.decode(it.toByteArray()) }.forEach(parts.explanations::keep)
        observer.answer(KeepExplanationsReply.getDefaultInstance())
    }

    override fun findExplanation(
        request: FindExplanationRequest,
        observer: StreamObserver<FindExplanationReply>,
    ) {
        val found = parts.explanations.find(RequestId(request.requestId))
        val records = listOfNotNull(found).map { ByteString.copyFrom(ExplanationJson.encode(it)) }
        observer.answer(FindExplanationReply.newBuilder().addAllRecords(records).build())
    }
}

/** Sends [reply] as the only answer. */
internal fun <T> StreamObserver<T>.answer(reply: T) {
    onNext(reply)
    onCompleted()
}
