/*
 * The request that an attempt sends: as the worker is to run it, or as it is passed on to another process, which makes
 * that of it.
 */
package auburnhall.gateway

import auburnhall.http.Correlation
import auburnhall.http.OutboundRequest
import auburnhall.http.endToEnd
import auburnhall.routing.Target
import io.netty.handler.codec.http.HttpHeaders

/** Builds what is sent of [accepted] to [target]. */
internal class AttemptRequest(
    private val context: GatewayContext,
    private val accepted: AcceptedRequest,
    private val target: Target,
    private val options: AttemptOptions,
) {
    private val codec = context.codecs.worker
    private val timeLeftMs = accepted.deadlineMs - context.clock.nowMs()

    fun build(): OutboundRequest {
        val caller = accepted.request.headers.endToEnd()
        val id = accepted.metadata.id?.ifEmpty { null }
        return OutboundRequest(
            accepted.request.method,
            accepted.request.uri,
            if (target.helper) passedOnHeaders(caller) else workerHeaders(caller),
            accepted.request.body,
            id?.let { Correlation(codec.idHeader, it) },
        )
    }

    private fun workerHeaders(caller: HttpHeaders): HttpHeaders {
        val metadata =
            WorkerRequestMetadata(
                timeLeftMs = timeLeftMs,
                workerId = target.worker.id,
                customer = accepted.customer?.name,
                resumeAfterEventId = options.resumeAfterEventId,
                priority = options.priority,
            )
        return codec.requestHeaders(caller, metadata)
    }

    private fun passedOnHeaders(caller: HttpHeaders): HttpHeaders {
        val headers = codec.passedOnHeaders(caller, timeLeftMs, options.resumeAfterEventId)
        PassOn(context.helpers.processName, options.attemptsLeft).write(headers)
        return headers
    }
}
