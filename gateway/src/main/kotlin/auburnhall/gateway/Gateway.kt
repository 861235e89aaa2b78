/*
 * Serves callers: checks each request, forwards it, and supervises the requests in progress.
 */
package auburnhall.gateway

import auburnhall.core.logRequest
import auburnhall.http.InboundRequest
import auburnhall.http.Reply
import auburnhall.http.RequestHandler

/** Serves requests on the traffic thread. */
class Gateway(
    private val parts: GatewayParts,
    private val filters: FilterChain,
) : RequestHandler {
    private val room = ForwardingRoom(parts)
    private val starting = StartingRoom(parts.clock, parts.scheduler, ::decide)

    /** Number of requests that wait for a free slot. */
    val queued: Int get() = room.waiting.size

    override fun onRequest(
        request: InboundRequest,
        reply: Reply,
    ) {
        if (parts.state.configuration == null && starting.hold(request, reply)) return
        decide(request, reply)
    }

    private fun decide(
        request: InboundRequest,
        reply: Reply,
    ) {
        val terms = parts.codecs.caller.read(request.headers)
        when (val verdict = filters.decide(request, terms)) {
            is Verdict.Refuse -> refuse(terms, verdict, reply)
            is Verdict.Accept -> forward(verdict.accepted, reply)
        }
    }

    /** Serves requests by [state] from now on, and dispatches those that wait. */
    fun update(state: GatewayState) {
        parts.state = state
        parts.health.retain(state.targets::isPresent)
        parts.silence.retain(state.targets::isPresent)
        starting.release()
        room.waiting.dispatchAll()
    }

    /** Dispatches waiting requests and checks replicas for silence; to be called every [TICK_MS] milliseconds. */
    fun tick() {
        room.tick()
    }

    /** Requests in progress divided by slots, by service and model, for the services that are served by replicas. */
    fun pressure(): Map<String, Map<String, Double>> {
        val services =
            parts.state.configuration
                ?.services
                ?.values
                .orEmpty()
                .filter { it.engine != null }
        return services.associate { service ->
            val byModel =
                parts.state.targets
                    .of(service.name)
                    .groupBy { it.model.orEmpty() }
            service.name to
                byModel.mapValues { (_, targets) ->
                    targets.sumOf { parts.load.total(it.key).requests }.toDouble() / targets.sumOf { it.slots }
                }
        }
    }

    private fun forward(
        accepted: AcceptedRequest,
        reply: Reply,
    ) {
        parts.budgets.of(accepted.service).onRequest()
        Forwarding(parts, accepted, reply, room).start()
    }

    private fun refuse(
        terms: CallerTerms,
        verdict: Verdict.Refuse,
        reply: Reply,
    ) {
        parts.listener.logRequest(
            "request.refused",
            terms.id ?: "-",
            "status" to verdict.status,
            "reason" to verdict.reason,
            "configuration" to parts.state.configuration?.version,
        )
        parts.metrics.onAnswered("unknown", "refused_${verdict.status}", 0)
        reply.send(verdict.status, parts.codecs.caller.refusal(terms.id, verdict.retryAfterMs), ByteArray(0))
    }

    companion object {
        /** Period of [tick]: a small part of the shortest time after which a silent replica is suspected. */
        const val TICK_MS = 40L
    }
}
