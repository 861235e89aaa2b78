/*
 * Reads and transactions of the key-value service.
 */
package auburnhall.standin.platform

import auburnhall.proto.etcd.DeleteRangeResponse
import auburnhall.proto.etcd.KVGrpc
import auburnhall.proto.etcd.PutRequest
import auburnhall.proto.etcd.PutResponse
import auburnhall.proto.etcd.RangeRequest
import auburnhall.proto.etcd.RangeResponse
import auburnhall.proto.etcd.RequestOp
import auburnhall.proto.etcd.ResponseHeader
import auburnhall.proto.etcd.ResponseOp
import auburnhall.proto.etcd.TxnRequest
import auburnhall.proto.etcd.TxnResponse
import io.grpc.Status
import io.grpc.StatusRuntimeException
import io.grpc.stub.StreamObserver

internal class KvService(
    private val state: KeyValueState,
    private val leases: LeaseTable,
    private val lock: Any,
    private val gate: FaultGate,
) : KVGrpc.KVImplBase() {
    override fun range(
        request: RangeRequest,
        responseObserver: StreamObserver<RangeResponse>,
    ) = answer("range", false, responseObserver) { rangeOf(request) }

    override fun txn(
        request: TxnRequest,
        responseObserver: StreamObserver<TxnResponse>,
    ) = answer("txn", true, responseObserver) { transact(request) }

    private fun <T> answer(
        operation: String,
        isWrite: Boolean,
        observer: StreamObserver<T>,
        carryOut: () -> T,
    ) {
        try {
            gate.enter(operation)
            val reply = synchronized(lock) { carryOut() }
            if (!gate.leave(isWrite)) return
            observer.onNext(reply)
            observer.onCompleted()
        } catch (e: StatusRuntimeException) {
            observer.onError(e)
        }
    }

    private fun transact(request: TxnRequest): TxnResponse {
        request.successList.forEach { validate(it) }
        val holds = request.compareList.all { it.holdsFor(state.get(it.key)) }
        val ops = if (holds) request.successList else request.failureList
        val replies = ops.map { apply(it) }
        return TxnResponse
            .newBuilder()
            .setHeader(header())
            .setSucceeded(holds)
            .addAllResponses(replies)
            .build()
    }

    private fun validate(op: RequestOp) {
        if (!op.hasRequestPut()) return
        val put = op.requestPut
        if (put.value.size() > MAX_VALUE_BYTES) fail(Status.INVALID_ARGUMENT, "request is too large")
        if (put.lease != 0L && put.lease !in leases) fail(Status.NOT_FOUND, "requested lease not found")
    }

    private fun apply(op: RequestOp): ResponseOp {
        val reply = ResponseOp.newBuilder()
        when (op.requestCase) {
            RequestOp.RequestCase.REQUEST_RANGE -> reply.setResponseRange(rangeOf(op.requestRange))
            RequestOp.RequestCase.REQUEST_PUT -> reply.setResponsePut(put(op.requestPut))
            RequestOp.RequestCase.REQUEST_DELETE_RANGE -> {
                val range = KeyRange(op.requestDeleteRange.key, op.requestDeleteRange.rangeEnd)
                reply.setResponseDeleteRange(DeleteRangeResponse.newBuilder().setDeleted(state.delete(range)))
            }
            else -> fail(Status.INVALID_ARGUMENT, "no operation")
        }
        return reply.build()
    }

    private fun put(request: PutRequest): PutResponse {
        state.put(request.key, request.value, request.lease)
        return PutResponse.newBuilder().setHeader(header()).build()
    }

    private fun rangeOf(request: RangeRequest): RangeResponse {
        val found = state.find(KeyRange(request.key, request.rangeEnd))
        val limit = if (request.limit > 0) request.limit.toInt() else found.size
        return RangeResponse
            .newBuilder()
            .setHeader(header())
            .addAllKvs(found.take(limit))
            .setMore(found.size > limit)
            .setCount(found.size.toLong())
            .build()
    }

    private fun header() = ResponseHeader.newBuilder().setRevision(state.revision)

    private companion object {
        const val MAX_VALUE_BYTES = 1_024 * 1_024
    }
}
