/*
 * The owners of ledger shards as the ledger asks them, over gRPC, and the answers this process gives as an owner.
 */
package auburnhall.peer

import auburnhall.core.CustomerId
import auburnhall.core.ProcessId
import auburnhall.core.RequestId
import auburnhall.core.Step
import auburnhall.ledger.CompleteReply
import auburnhall.ledger.IntentOutcome
import auburnhall.ledger.IntentRequest
import auburnhall.ledger.LedgerPeers
import auburnhall.ledger.LedgerShards
import auburnhall.ledger.RecordedAnswer
import auburnhall.ledger.ReserveReply
import auburnhall.membership.Member
import auburnhall.proto.peer.CompleteIntentReply
import auburnhall.proto.peer.CompleteIntentRequest
import auburnhall.proto.peer.ReserveIntentReply
import auburnhall.proto.peer.ReserveIntentRequest
import com.google.protobuf.ByteString
import auburnhall.proto.peer.RecordedAnswer as RecordedAnswerMessage

/** Calls to the owners of shards over [channels]. */
class GrpcLedgerPeers(
    private val channels: PeerChannels,
) : LedgerPeers {
    override fun reserve(
        owner: Member,
        request: IntentRequest,
        from: ProcessId,
    ): ReserveReply {
        val message =
            ReserveIntentRequest
                .newBuilder()
                .setProcess(from.value)
                .setCustomer(request.customer.value)
                .setIdempotencyKey(request.idempotencyKey)
                .setBodyDigest(request.bodyDigest)
                .setRequestId(request.requestId.value)
                .build()
        val result = channels.call(owner.peerAddress, Step.KEEP_INTENT, CALL_MILLIS) { it.reserveIntent(message) }
        return when (result) {
            is PeerResult.Success -> result.value.toReply()
            is PeerResult.Error -> ReserveReply.NoAnswer(result.error.toString())
        }
    }

    override fun complete(
        owner: Member,
        request: IntentRequest,
        outcome: IntentOutcome,
    ): CompleteReply {
        val message = completeMessage(request, outcome)
        val result = channels.call(owner.peerAddress, Step.FINISH, CALL_MILLIS) { it.completeIntent(message) }
        return when (result) {
            is PeerResult.Success -> result.value.toReply()
            is PeerResult.Error -> CompleteReply.Unavailable(result.error.toString())
        }
    }

    private fun completeMessage(
        request: IntentRequest,
        outcome: IntentOutcome,
    ): CompleteIntentRequest {
        val message =
            CompleteIntentRequest
                .newBuilder()
                .setCustomer(request.customer.value)
                .setIdempotencyKey(request.idempotencyKey)
                .setBodyDigest(request.bodyDigest)
                .setRequestId(request.requestId.value)
        when (outcome) {
            IntentOutcome.NotRun -> message.outcome = CompleteIntentRequest.Outcome.NOT_RUN
            IntentOutcome.MayHaveRun -> message.outcome = CompleteIntentRequest.Outcome.MAY_HAVE_RUN
            is IntentOutcome.Done -> {
                message.outcome = CompleteIntentRequest.Outcome.DONE
                message.answer = outcome.answer.toMessage()
            }
        }
        return message.build()
    }

    private companion object {
        const val CALL_MILLIS = 3_000L
    }
}

/** Answers a peer's reservation with what [shards] say. */
internal fun reserveIntent(
    shards: LedgerShards,
    message: ReserveIntentRequest,
): ReserveIntentReply {
    val request =
        IntentRequest(
            CustomerId(message.customer),
            message.idempotencyKey,
            message.bodyDigest,
            RequestId(message.requestId),
        )
    return shards.reserve(request, ProcessId(message.process)).toMessage()
}

/** Answers a peer's report of an outcome with what [shards] say. */
internal fun completeIntent(
    shards: LedgerShards,
    message: CompleteIntentRequest,
): CompleteIntentReply {
    val request =
        IntentRequest(
            CustomerId(message.customer),
            message.idempotencyKey,
            message.bodyDigest,
            RequestId(message.requestId),
        )
    val outcome =
        when (message.outcome) {
            CompleteIntentRequest.Outcome.NOT_RUN -> IntentOutcome.NotRun
            CompleteIntentRequest.Outcome.DONE -> IntentOutcome.Done(message.answer.toAnswer())
            else -> IntentOutcome.MayHaveRun
        }
    return shards.complete(request, outcome).toMessage()
}

private fun ReserveReply.toMessage(): ReserveIntentReply {
    val m = ReserveIntentReply.newBuilder()
    when (this) {
        is ReserveReply.Granted -> m.setState(ReserveIntentReply.State.GRANTED).dispatchWithinMs = withinMillis
        is ReserveReply.InProgress ->
            m.setState(ReserveIntentReply.State.IN_PROGRESS).firstRequestId =
                firstRequest.value
        is ReserveReply.MayHaveRun ->
            m.setState(ReserveIntentReply.State.MAY_HAVE_RUN).firstRequestId = firstRequest.value
        is ReserveReply.Done -> {
            m.setState(ReserveIntentReply.State.DONE).firstRequestId = firstRequest.value
            m.answer = answer.toMessage()
        }
        is ReserveReply.KeyReused -> m.setState(ReserveIntentReply.State.KEY_REUSED).firstRequestId = firstRequest.value
        is ReserveReply.Unavailable -> m.setState(ReserveIntentReply.State.UNAVAILABLE).reason = reason
        is ReserveReply.NoAnswer -> m.setState(ReserveIntentReply.State.UNAVAILABLE).reason = reason
        ReserveReply.NotOwner -> m.state = ReserveIntentReply.State.NOT_OWNER
    }
    return m.build()
}

private fun ReserveIntentReply.toReply(): ReserveReply {
    val first = RequestId(firstRequestId)
    return when (state) {
        ReserveIntentReply.State.GRANTED -> ReserveReply.Granted(dispatchWithinMs)
        ReserveIntentReply.State.IN_PROGRESS -> ReserveReply.InProgress(first)
        ReserveIntentReply.State.MAY_HAVE_RUN -> ReserveReply.MayHaveRun(first)
        ReserveIntentReply.State.DONE -> ReserveReply.Done(first, answer.toAnswer())
        ReserveIntentReply.State.KEY_REUSED -> ReserveReply.KeyReused(first)
        ReserveIntentReply.State.NOT_OWNER -> ReserveReply.NotOwner
        else -> ReserveReply.Unavailable(reason)
    }
}

private fun CompleteReply.toMessage(): CompleteIntentReply {
    val m = CompleteIntentReply.newBuilder()
    when (this) {
        CompleteReply.Recorded -> m.state = CompleteIntentReply.State.RECORDED
        is CompleteReply.Rejected -> m.setState(CompleteIntentReply.State.REJECTED).reason = reason
        is CompleteReply.Unavailable -> m.setState(CompleteIntentReply.State.UNAVAILABLE).reason = reason
        CompleteReply.NotOwner -> m.state = CompleteIntentReply.State.NOT_OWNER
    }
    return m.build()
}

private fun CompleteIntentReply.toReply(): CompleteReply =
    when (state) {
        CompleteIntentReply.State.RECORDED -> CompleteReply.Recorded
        CompleteIntentReply.State.REJECTED -> CompleteReply.Rejected(reason)
        CompleteIntentReply.State.NOT_OWNER -> CompleteReply.NotOwner
        else -> CompleteReply.Unavailable(reason)
    }

private fun RecordedAnswer.toMessage(): RecordedAnswerMessage =
    RecordedAnswerMessage
        .newBuilder()
        .setStatus(status)
        .setContentType(contentType)
        .setBody(ByteString.copyFrom(body))
        .build()

private fun RecordedAnswerMessage.toAnswer() = RecordedAnswer(status, contentType, body.toByteArray())
