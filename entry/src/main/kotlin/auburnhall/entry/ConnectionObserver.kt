/*
 * Logs and counts what happens on connections apart from their requests: bytes of workers that belong to no response
 * that was awaited, and callers' connections that end with something unsent or unanswered, or with an error.
 */
package auburnhall.entry

import auburnhall.core.EventListener
import auburnhall.core.log
import auburnhall.http.CutConnection
import auburnhall.http.HttpClient
import auburnhall.http.HttpServer
import auburnhall.http.StrayBytes

/** Reports to [listener] and [metrics]. Each thread has its own. */
internal class ConnectionObserver(
    private val listener: EventListener,
    private val metrics: EntryMetrics,
) {
    /** Observes the connections of callers, or of other processes, to [callers]. */
    fun observe(callers: HttpServer) {
        callers.onCut = ::onCut
        callers.onMemoryRefusal = {
            listener.log("request.no_memory", "peer" to it.peer, "held_bytes" to it.heldBytes, "limit" to it.limitBytes)
        }
        callers.onHandlerError = { listener.log("caller.handler_error", "peer" to it.peer, "cause" to it.cause) }
    }

    /** Observes the connections of [client]. */
    fun observe(client: HttpClient) {
        client.onStrayBytes = ::onStrayBytes
    }

    private fun onCut(cut: CutConnection) {
        metrics.onConnectionCut(cut.reason)
        listener.log(
            "caller.connection_cut",
            "peer" to cut.peer,
            "reason" to cut.reason,
            "unsent_bytes" to cut.unsentBytes,
            "unanswered_requests" to cut.unansweredRequests,
            "cause" to cut.cause,
        )
    }

    private fun onStrayBytes(stray: StrayBytes) {
        metrics.onStrayBytes(stray.kind)
        listener.log("worker.stray_bytes", "peer" to stray.peer, "kind" to stray.kind, "calls" to stray.calls)
    }
}
