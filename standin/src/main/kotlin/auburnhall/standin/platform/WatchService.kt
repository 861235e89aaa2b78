/*
 * Watches of the key-value service.
 */
package auburnhall.standin.platform

import auburnhall.proto.etcd.Event
import auburnhall.proto.etcd.ResponseHeader
import auburnhall.proto.etcd.WatchCreateRequest
import auburnhall.proto.etcd.WatchGrpc
import auburnhall.proto.etcd.WatchRequest
import auburnhall.proto.etcd.WatchResponse
import io.grpc.Status
import io.grpc.StatusRuntimeException
import io.grpc.stub.ServerCallStreamObserver
import io.grpc.stub.StreamObserver

/** One watch for each stream. [lock] guards [state] and orders the events. */
internal class WatchService(
    private val state: KeyValueState,
    private val lock: Any,
    private val gate: FaultGate,
) : WatchGrpc.WatchImplBase() {
    private class Waiting(
        val range: KeyRange,
        val observer: StreamObserver<WatchResponse>,
    )

    private val waitingWatches = ArrayList<Waiting>()

    /** Number of watches that wait. */
    val waiting: Int get() = synchronized(lock) { waitingWatches.size }

    override fun watch(responseObserver: StreamObserver<WatchResponse>): StreamObserver<WatchRequest> {
        (responseObserver as ServerCallStreamObserver).setOnCancelHandler { drop(responseObserver) }
        return object : StreamObserver<WatchRequest> {
            override fun onNext(value: WatchRequest) {
                if (value.hasCreateRequest()) create(value.createRequest, responseObserver)
            }

            override fun onError(t: Throwable) = drop(responseObserver)

            override fun onCompleted() {
                drop(responseObserver)
                responseObserver.onCompleted()
            }
        }
    }

    /** To be called under the lock. */
    fun onChange(change: Change) =
        waitingWatches
            .filter { change.event.kv.key in it.range }
            .forEach { send(it.observer, listOf(change.event)) }

    /** Ends every watch with an error. */
    fun breakAll() =
        synchronized(lock) {
            waitingWatches.forEach { it.observer.onError(Status.UNAVAILABLE.asRuntimeException()) }
            waitingWatches.clear()
        }

    private fun create(
        request: WatchCreateRequest,
        observer: StreamObserver<WatchResponse>,
    ) {
        try {
            gate.enter("watch")
            synchronized(lock) { open(request, observer) }
        } catch (e: StatusRuntimeException) {
            observer.onError(e)
        }
    }

    private fun open(
        request: WatchCreateRequest,
        observer: StreamObserver<WatchResponse>,
    ) {
        observer.onNext(response().setCreated(true).build())
        val start = if (request.startRevision > 0) request.startRevision else state.revision + 1
        if (start <= state.compacted) {
            val reply = response().setCanceled(true).setCompactRevision(state.compacted + 1)
            observer.onNext(reply.setCancelReason("required revision has been compacted").build())
            observer.onCompleted()
            return
        }
        val range = KeyRange(request.key, request.rangeEnd)
        val missed = state.changesSince(start, range).map { it.event }
        if (missed.isNotEmpty()) send(observer, missed)
        waitingWatches += Waiting(range, observer)
    }

    private fun send(
        observer: StreamObserver<WatchResponse>,
        events: List<Event>,
    ) = observer.onNext(response().addAllEvents(events).build())

    private fun response(): WatchResponse.Builder {
        val header = ResponseHeader.newBuilder().setRevision(state.revision)
        return WatchResponse.newBuilder().setHeader(header)
    }

    private fun drop(observer: StreamObserver<WatchResponse>) {
        synchronized(lock) { waitingWatches.removeAll { it.observer === observer } }
    }
}
