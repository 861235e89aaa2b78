/*
 * Serves the requests that other processes, which reach no worker, pass on to this one: each as one of this process's
 * own, but it is never passed on again. Designed for a large part of all processes doing so at the same time. A process
 * that reaches no worker itself refuses at once, so that the request still finds another one.
 */
package auburnhall.gateway

import auburnhall.core.logRequest
import auburnhall.http.InboundRequest
import auburnhall.http.RequestHandler
import auburnhall.http.ResponseWriter

/** Handles requests on the port to which other processes pass them on. Traffic thread only. */
class PassedOnRequests(
    private val context: GatewayContext,
    private val gateway: Gateway,
) : RequestHandler {
    /** Number of requests that were taken over since the start; may be read on any thread. */
    @Volatile
    var taken = 0L
        private set

    override fun onRequest(
        request: InboundRequest,
        response: ResponseWriter,
    ) {
        val passOn = PassOn.take(request.headers)
        val metadata = context.codecs.caller.read(request.headers)
        val refusal =
            when {
                passOn == null -> "not passed on by a process"
                context.reachability.isolated -> "no worker is reached from here either"
                context.state.configuration == null -> "no configuration yet"
                else -> null
            }
        if (passOn == null || refusal != null) {
            context.listener.logRequest("request.not_taken_over", metadata.id ?: "-", "reason" to refusal)
            val headers = context.codecs.caller.refusalHeaders(metadata.id, null)
            passOn?.state(Execution.NotExecuted, headers)
            response.send(UNAVAILABLE, headers, ByteArray(0))
        } else {
            taken++
            context.listener.logRequest("request.taken_over", metadata.id ?: "-", "from" to passOn.process)
            gateway.serve(request, response, passOn)
        }
    }
}
