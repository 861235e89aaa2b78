/*
 * Serves callers: checks each request, forwards it, and looks after those in progress.
 */
package auburnhall.gateway

import auburnhall.core.logRequest
import auburnhall.http.InboundRequest
import auburnhall.http.RequestHandler
import auburnhall.http.ResponseWriter

/** Serves requests on the traffic thread. */
class Gateway(
    private val context: GatewayContext,
    private val filters: FilterChain,
) : RequestHandler {
    private val inFlight = InFlightRequests(context)
    private val starting = StartupQueue(context.clock, context.scheduler, ::decide)

    /** Requests that wait for a place. */
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

    /** Serves under [state] from now on. */
    fun update(state: GatewayState) {
        context.state = state
        context.health.retain(state.targets::isPresent)
        context.failureDetector.retain(state.targets::isPresent)
        starting.release()
        inFlight.waiting.retry()
    }

    /** Looks after waiting requests and silent streams; called every [TICK_PERIOD_MS] milliseconds. */
    fun tick() {
        inFlight.tick()
    }

    /** Part of the slots that is taken, by service and model. */
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
        response.send(
            verdict.status,
            context.codecs.caller.refusalHeaders(metadata.id, verdict.retryAfterMs),
            ByteArray(0),
        )
    }

    companion object {
        /** Time between looks at requests in progress: a small part of the shortest pause that matters. */
        const val TICK_PERIOD_MS = 40L
    }
}
