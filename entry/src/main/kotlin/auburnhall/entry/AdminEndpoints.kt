/*
 * The HTTP endpoints for the platform and operators: readiness, which the load balancer polls, and metrics.
 */
package auburnhall.entry

import auburnhall.core.Address
import auburnhall.core.CallerLimits
import auburnhall.core.Clock
import auburnhall.http.HttpServer
import auburnhall.http.InboundRequest
import auburnhall.http.RequestHandler
import auburnhall.http.ResponseWriter
import auburnhall.http.newHeaders
import auburnhall.platform.Readiness
import io.netty.channel.EventLoop

/** Serves the readiness and metrics endpoints; [isReady] says whether the process accepts callers. */
class AdminEndpoints(
    private val clock: Clock,
    private val metrics: EntryMetrics,
    private val isReady: () -> Boolean,
) {
    /** Serves readiness at [address] on [loop]. */
    fun serveReadiness(
        loop: EventLoop,
        address: Address,
    ) = serve(loop, address, ::onReadiness)

    /** Serves metrics at [address] on [loop]. */
    fun serveMetrics(
        loop: EventLoop,
        address: Address,
    ) = serve(loop, address, ::onMetrics)

    private fun serve(
        loop: EventLoop,
        address: Address,
        handler: RequestHandler,
    ) {
        HttpServer(loop, clock, { CallerLimits.DEFAULT }, handler).bind(address).sync()
    }

    private fun onReadiness(
        request: InboundRequest,
        response: ResponseWriter,
    ) {
        val status = if (request.path == Readiness.PATH) Readiness.statusOf(isReady()) else NOT_FOUND
        response.send(status, newHeaders(), ByteArray(0))
    }

    private fun onMetrics(
        request: InboundRequest,
        response: ResponseWriter,
    ) {
        val found = request.path == METRICS_PATH
        response.send(if (found) OK else NOT_FOUND, newHeaders(), if (found) metrics.scrape() else ByteArray(0))
    }

    private companion object {
        const val OK = 200
        const val NOT_FOUND = 404
        const val METRICS_PATH = "/metrics"
    }
}
