/*
 * Serves callers: checks each request, forwards it, and supervises the requests in progress.
 */
package auburnhall.gateway

import auburnhall.core.logRequest
import auburnhall.http.InboundRequest
import auburnhall.http.ResponseWriter
import auburnhall.http.RequestHandler

/** Serves requests on the traffic thread. */
class Gateway(
    private val context: GatewayContext,
    private val filters: FilterChain,
) : RequestHandler {
    private val inFlight = InFlightRequests(context)
    private val starting = StartupQueue(context.clock, context.scheduler, ::decide)

    /** Number of requests that wait for a free slot. */
    val queuedRequests: Int get() = inFlight.waiting.size

    override fun onRequest(
        request: InboundRequest,
        response: ResponseWriter,
    ) {
        if (context.state.configuration == null && starting.hold(request, response)) return
        decide(request, response)
    }

    private fun decide(
        request: InboundRequest,
        response: ResponseWriter,
    ) {
        val metadata = context.codecs.caller.read(request.headers)
        when (val verdict = filters.decide(request, metadata)) {
            is FilterResult.Refuse -> refuse(metadata, verdict, response)
            is FilterResult.Accept -> forward(verdict.accepted, response)
        }
    }

    /** Serves requests by [state] from now on, and dispatches those that wait. */
    fun update(state: GatewayState) {
        context.state = state
        context.health.retain(state.targets::isPresent)
        context.failureDetector.retain(state.targets::isPresent)
        starting.release()
        inFlight.waiting.dispatchAll()
    }

    /** Dispatches waiting requests and checks replicas for silence; to be called every [TICK_PERIOD_MS] milliseconds. */
    fun tick() {
        inFlight.tick()
    }

    /** Requests in progress divided by slots, by service and model, for the services that are served by replicas. */
    fun slotUtilization(): Map<String, Map<String, Double>> {
        val services =
            context.state.configuration
                ?.services
                ?.values
                .orEmpty()
                .filter { it.engine != null }
        return services.associate { service ->
            val byModel =
                context.state.targets
                    .of(service.name)
                    .groupBy { it.model.orEmpty() }
            service.name to
                byModel.mapValues { (_, targets) ->
                    targets.sumOf { context.load.total(it.key).requests }.toDouble() / targets.sumOf { it.slots }
                }
        }
    }

    private fun forward(
        accepted: AcceptedRequest,
        response: ResponseWriter,
    ) {
        context.budgets.of(accepted.service).onRequest()
        ForwardedRequest(context, accepted, response, inFlight).start()
    }

    private fun refuse(
        metadata: CallerRequestMetadata,
        verdict: FilterResult.Refuse,
        response: ResponseWriter,
    ) {
        context.listener.logRequest(
            "request.refused",
            metadata.id ?: "-",
            "status" to verdict.status,
            "reason" to verdict.reason,
            "configuration" to context.state.configuration?.version,
        )
        context.metrics.onRequestEnded("unknown", "refused_${verdict.status}", 0)
        response.send(verdict.status, context.codecs.caller.refusalHeaders(metadata.id, verdict.retryAfterMs), ByteArray(0))
    }

    companion object {
        /** Period of [tick]: a small part of the shortest time after which a silent replica is suspected. */
        const val TICK_PERIOD_MS = 40L
    }
}
