/*
 * Leases of the key-value service.
 */
package auburnhall.standin.platform

import auburnhall.proto.etcd.LeaseGrantRequest
import auburnhall.proto.etcd.LeaseGrantResponse
import auburnhall.proto.etcd.LeaseGrpc
import auburnhall.proto.etcd.LeaseKeepAliveRequest
import auburnhall.proto.etcd.LeaseKeepAliveResponse
import auburnhall.proto.etcd.LeaseRevokeRequest
import auburnhall.proto.etcd.LeaseRevokeResponse
import io.grpc.Status
import io.grpc.StatusRuntimeException
import io.grpc.stub.StreamObserver

internal class LeaseService(
    private val leases: LeaseTable,
    private val lock: Any,
    private val gate: FaultGate,
) : LeaseGrpc.LeaseImplBase() {
    override fun leaseGrant(
        request: LeaseGrantRequest,
        responseObserver: StreamObserver<LeaseGrantResponse>,
    ) = answer("lease_grant", responseObserver) {
        val id = synchronized(lock) { leases.grant(request.ttl) }
        LeaseGrantResponse
            .newBuilder()
            .setID(id)
            .setTTL(request.ttl)
            .build()
    }

    override fun leaseRevoke(
        request: LeaseRevokeRequest,
        responseObserver: StreamObserver<LeaseRevokeResponse>,
    ) = answer("lease_revoke", responseObserver) {
        val known = synchronized(lock) { leases.revoke(request.id) }
        if (!known) throw Status.NOT_FOUND.withDescription("requested lease not found").asRuntimeException()
        LeaseRevokeResponse.getDefaultInstance()
    }

    override fun leaseKeepAlive(
        responseObserver: StreamObserver<LeaseKeepAliveResponse>,
    ): StreamObserver<LeaseKeepAliveRequest> =
        object : StreamObserver<LeaseKeepAliveRequest> {
            private var failed = false

            override fun onNext(value: LeaseKeepAliveRequest) {
                try {
                    gate.enter("lease_keep_alive")
                    val ttl = synchronized(lock) { leases.renew(value.id) }
                    if (!gate.leave(isWrite = true)) return
                    responseObserver.onNext(
                        LeaseKeepAliveResponse
                            .newBuilder()
                            .setID(value.id)
                            .setTTL(ttl)
                            .build(),
                    )
                } catch (e: StatusRuntimeException) {
                    failed = true
                    responseObserver.onError(e)
                }
            }

            override fun onError(t: Throwable) {
                failed = true
            }

            override fun onCompleted() {
                if (!failed) responseObserver.onCompleted()
            }
        }

    private fun <T> answer(
        operation: String,
        observer: StreamObserver<T>,
        carryOut: () -> T,
    ) {
        try {
            gate.enter(operation)
            val reply = carryOut()
            if (!gate.leave(isWrite = true)) return
            observer.onNext(reply)
            observer.onCompleted()
        } catch (e: StatusRuntimeException) {
            observer.onError(e)
        }
    }
}
