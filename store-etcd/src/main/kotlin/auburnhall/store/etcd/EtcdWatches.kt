/*
 * Watches over the etcd v3 protocol: one stream for each.
 */
package auburnhall.store.etcd

import auburnhall.proto.etcd.Event
import auburnhall.proto.etcd.WatchCreateRequest
import auburnhall.proto.etcd.WatchGrpc
import auburnhall.proto.etcd.WatchRequest
import auburnhall.proto.etcd.WatchResponse
import auburnhall.store.Watch
import auburnhall.store.WatchListener
import io.grpc.Status
import io.grpc.stub.ClientCallStreamObserver
import io.grpc.stub.ClientResponseObserver
import java.util.concurrent.atomic.AtomicBoolean

internal class EtcdWatches(
    private val connection: EtcdConnection,
    private val calls: CallReporter,
) {
    /** Opens a watch; a failure to open it is reported to [listener] as its loss. */
    fun open(
        prefix: String,
        afterRevision: Long,
        listener: WatchListener,
    ): Watch {
        val watch = EtcdWatch(listener)
        val create =
            WatchCreateRequest
                .newBuilder()
                .setKey(bytes(prefix))
                .setRangeEnd(rangeEnd(prefix))
                .setStartRevision(afterRevision + 1)
        val requests = WatchGrpc.newStub(connection.channel).watch(watch)
        requests.onNext(WatchRequest.newBuilder().setCreateRequest(create).build())
        return watch
    }

    private inner class EtcdWatch(
        private val listener: WatchListener,
    ) : Watch,
        ClientResponseObserver<WatchRequest, WatchResponse> {
        private val ended = AtomicBoolean(false)

        @Volatile
        private var call: ClientCallStreamObserver<WatchRequest>? = null

        override fun beforeStart(requestStream: ClientCallStreamObserver<WatchRequest>) {
            call = requestStream
        }

        override fun onNext(value: WatchResponse) {
            if (ended.get()) return
            value.eventsList.forEach { report(it) }
            if (value.canceled) onCanceled(value)
        }

        override fun onError(t: Throwable) {
            val status = Status.fromThrowable(t)
            connection.onFailure(status)
            end(status.describe())
        }

        override fun onCompleted() = end("ended by the service")

        override fun close() {
            if (ended.compareAndSet(false, true)) call?.cancel("closed", null)
        }

        private fun report(event: Event) {
            if (event.type == Event.EventType.DELETE) {
                listener.onDelete(event.kv.key.toStringUtf8())
            } else {
                listener.onPut(event.kv.toEntry())
            }
        }

        private fun onCanceled(reply: WatchResponse) {
            val compacted = reply.compactRevision > 0
            end(if (compacted) "history before ${reply.compactRevision} is gone" else reply.cancelReason)
            call?.cancel("canceled by the service", null)
        }

        private fun end(message: String) {
            if (!ended.compareAndSet(false, true)) return
            calls.watchEnded(StoreOutcome.LOST)
            listener.onLost("watch at ${connection.address}: $message")
        }
    }
}
