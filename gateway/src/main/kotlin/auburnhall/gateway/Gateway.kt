/*
 * Serves callers: checks each request, forwards it, and supervises the requests in progress.
 */
package auburnhall.gateway

import auburnhall.core.Model
import auburnhall.core.ModelDemand
import auburnhall.core.logRequest
import auburnhall.http.InboundRequest
import auburnhall.http.RequestHandler
import auburnhall.http.ResponseWriter
import auburnhall.routing.TargetKey
import auburnhall.routing.TargetPool

/** Serves requests on the traffic thread. */
class Gateway(
    private val context: GatewayContext,
    private val filters: FilterChain,
) : RequestHandler {
    private val inFlight = InFlightRequests(context)
    private val startupQueue =
        StartupQueue(context.clock, context.scheduler) { request, response -> serve(request, response) }

    init {
        Isolation(context, inFlight) { onIsolated(it) }
        context.parts.verdicts.onQuarantined = inFlight::stopQuarantined
    }

    /** Called with whether no worker is reached when that has changed. */
    var onIsolated: (Boolean) -> Unit = { }

    /** The stop of this process; null while none has begun. */
    var stop: ProcessStop? = null

    /** Ends all requests in progress: each gets a response, or its stream is aborted. */
    fun endRequests() {
        startupQueue.release()
        inFlight.endAll()
    }

    /** Number of requests in progress in evacuated data centres; may be read on any thread. */
    val requestsInEvacuated: Int get() = inFlight.inEvacuated

    /** Number of requests that wait for a free slot. */
    val queuedRequests: Int get() = inFlight.queue.size

    override fun onRequest(
        request: InboundRequest,
        response: ResponseWriter,
    ) {
        if (context.state.configuration == null && startupQueue.hold(request, response)) return
        serve(request, response)
    }

    /** Checks [request] and forwards it; [passOn] is what the process states that passed it on, null for a caller's. */
    internal fun serve(
        request: InboundRequest,
        response: ResponseWriter,
        passOn: PassOn? = null,
    ) {
        val metadata = context.codecs.caller.read(request.headers)
        when (val result = filters.decide(request, metadata)) {
            is FilterResult.Refuse -> refuse(metadata, result, response, passOn)
            is FilterResult.Accept -> forward(result.accepted.passedOn(passOn), response)
        }
    }

    /** Replaces the state by which requests are served, and dispatches held and queued requests. */
    fun update(state: GatewayState) {
        val evacuatedBefore = context.state.targets.evacuated
        context.state = state
        context.health.retain(::isInUse)
        context.failureDetector.retain(::isInUse)
        if (state.targets.evacuated != evacuatedBefore) inFlight.onEvacuated(state.targets.evacuated)
        if (state.configuration != null) startupQueue.release()
        inFlight.queue.dispatchAll()
    }

    /** Whether requests may be sent to [key], or some are still in progress there. */
    private fun isInUse(key: TargetKey): Boolean =
        context.state.targets.isPresent(key) || context.load.own(key).requests > 0

    /** A replica is known to be lost, so that its requests are to be retried elsewhere. */
    fun onReplicaLost() = inFlight.onReplicaLost()

    /** The demand for each model, by service; only for services that are served by replicas. */
    fun modelDemand(): Map<String, Map<String, ModelDemand>> =
        context.state.configuration
            ?.services
            ?.values
            .orEmpty()
            .mapNotNull { service -> service.engine?.let { service.name to demandOf(service.name, it.models) } }
            .toMap()

    private fun demandOf(
        service: String,
        models: List<Model>,
    ): Map<String, ModelDemand> =
        models.associate { model ->
            val targets = context.state.targets.of(service, model.name)
            model.name to
                ModelDemand(
                    slotsInUse = targets.sumOf { context.load.total(it.key).requests },
                    waiting = inFlight.queue.waitingIn(TargetPool(service, model.name)),
                    slots = targets.sumOf { it.slots },
                )
        }

    private fun forward(
        accepted: AcceptedRequest,
        response: ResponseWriter,
    ) {
        context.budgets.of(accepted.service).onRequest()
        context.parts.onRequest(accepted.metadata.sharedParts, accepted.served)
        ForwardedRequest(context, accepted, response, inFlight).start()
    }

    private fun refuse(
        metadata: CallerRequestMetadata,
        result: FilterResult.Refuse,
        response: ResponseWriter,
        passOn: PassOn?,
    ) {
        context.listener.logRequest(
            "request.refused",
            metadata.id ?: "-",
            "status" to result.status,
            "reason" to result.reason,
            "configuration" to context.state.configuration?.version,
        )
        context.metrics.onRequestEnded("unknown", "refused_${result.status}", 0)
        val headers = context.codecs.caller.refusalHeaders(metadata.id, result.retryAfterMs)
        passOn?.state(Execution.NotExecuted, headers)
        response.send(result.status, headers, ByteArray(0))
    }
}
