/*
 * Leases over the etcd v3 protocol.
 */
package auburnhall.store.etcd

import auburnhall.proto.etcd.LeaseGrantRequest
import auburnhall.proto.etcd.LeaseGrpc
import auburnhall.proto.etcd.LeaseKeepAliveRequest
import auburnhall.proto.etcd.LeaseKeepAliveResponse
import auburnhall.proto.etcd.LeaseRevokeRequest
import auburnhall.store.LeaseResult
import io.grpc.Status
import io.grpc.StatusRuntimeException
import io.grpc.stub.StreamObserver
import java.util.concurrent.CompletableFuture
import java.util.concurrent.ExecutionException
import java.util.concurrent.TimeUnit

internal class EtcdLeases(
    private val connection: EtcdConnection,
    private val calls: CallReporter,
) {
    fun grant(ttlSeconds: Long): LeaseResult =
        call(StoreOperation.GRANT_LEASE) {
            val reply = blocking().leaseGrant(LeaseGrantRequest.newBuilder().setTTL(ttlSeconds).build())
            LeaseResult.Success(reply.id, reply.ttl * MILLIS_PER_SECOND)
        }

    fun revoke(lease: Long): LeaseResult =
        call(StoreOperation.REVOKE_LEASE) {
            blocking().leaseRevoke(LeaseRevokeRequest.newBuilder().setID(lease).build())
            LeaseResult.Success(lease, 0)
        }

    /** The protocol renews over a stream; each renewal opens one, sends one request and ends it. */
    fun keepAlive(lease: Long): LeaseResult =
        call(StoreOperation.KEEP_ALIVE) {
            val answer = FirstReply()
            val requests =
                LeaseGrpc
                    .newStub(connection.channel)
                    .withDeadlineAfter(connection.callTimeoutMillis, TimeUnit.MILLISECONDS)
                    .leaseKeepAlive(answer)
            requests.onNext(LeaseKeepAliveRequest.newBuilder().setID(lease).build())
            requests.onCompleted()
            val reply = answer.await()
            if (reply.ttl <= 0) LeaseResult.Lost else LeaseResult.Success(lease, reply.ttl * MILLIS_PER_SECOND)
        }

    private fun call(
        operation: StoreOperation,
        send: () -> LeaseResult,
    ): LeaseResult =
        calls.report(operation, ::outcomeOf) {
            try {
                send()
            } catch (e: StatusRuntimeException) {
                connection.onFailure(e.status)
                failureOf(operation, e.status)
            }
        }

    private fun failureOf(
        operation: StoreOperation,
        status: Status,
    ) = if (status.code == Status.Code.NOT_FOUND) {
        LeaseResult.Lost
    } else {
        LeaseResult.Error("$operation at ${connection.address}: ${status.describe()}")
    }

    private fun blocking() =
        LeaseGrpc
            .newBlockingStub(connection.channel)
            .withDeadlineAfter(connection.callTimeoutMillis, TimeUnit.MILLISECONDS)

    private fun outcomeOf(result: LeaseResult) =
        when (result) {
            is LeaseResult.Success -> StoreOutcome.SUCCESS
            is LeaseResult.Lost -> StoreOutcome.LOST
            is LeaseResult.Error -> StoreOutcome.NO_ANSWER
        }

    /** The stream always ends by the call's deadline, so [await] does too. */
    private class FirstReply : StreamObserver<LeaseKeepAliveResponse> {
        private val reply = CompletableFuture<LeaseKeepAliveResponse>()

        fun await(): LeaseKeepAliveResponse =
            try {
                reply.get()
            } catch (e: ExecutionException) {
                throw Status.fromThrowable(e).asRuntimeException()
            }

        override fun onNext(value: LeaseKeepAliveResponse) {
            reply.complete(value)
        }

        override fun onError(t: Throwable) {
            reply.completeExceptionally(t)
        }

        override fun onCompleted() {
            reply.completeExceptionally(Status.UNAVAILABLE.withDescription("no reply").asRuntimeException())
        }
    }

    private companion object {
        const val MILLIS_PER_SECOND = 1_000L
    }
}
