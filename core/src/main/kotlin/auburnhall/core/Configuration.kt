/*
 * The configuration written by the operators: routes, services, customers and limits. Each version is complete, not a
 * delta, and version numbers only increase.
 */
package auburnhall.core

/** Whether a request may be executed more than once. */
enum class RequestKind {
    /** May be executed more than once. */
    IDEMPOTENT,

    /** Must be executed at most once. */
    NON_IDEMPOTENT,

    /** Answered with a stream of events; may be executed again only if the route is resumable. */
    STREAMING,
}

/** A service of a route; [weight], 0 or more, sets its share of the route's requests. */
data class WeightedService(
    val service: String,
    val weight: Int,
)

/** Maps requests, by host and path prefix, to services, with their time limits and retry rules. */
data class Route(
    val name: String,
    val host: String,
    /** Begins and ends with a slash. */
    val prefix: String,
    val kind: RequestKind,
    /** Longest time, in milliseconds, that a caller waits for the complete response. */
    val timeoutMs: Long,
    /** Time, in milliseconds, within which the response, or the first event of a stream, counts as on time. */
    val targetLatencyMs: Long,
    /** 0 is the highest priority. */
    val priority: Int,
    val services: List<WeightedService>,
    /** Maximum number of workers that one request may be sent to. */
    val maxAttempts: Int,
    /** Whether requests are accepted without an API key. */
    val anonymous: Boolean,
    /** Whether an interrupted stream may be resumed on another worker. */
    val resumable: Boolean,
    /** Longest pause, in milliseconds, between events of a stream that counts as on time; null if not configured. */
    val targetEventGapMs: Long?,
) {
    /** Whether a request that may already have been executed may be sent to another worker. */
    val repeatable: Boolean
        get() = kind == RequestKind.IDEMPOTENT || (kind == RequestKind.STREAMING && resumable)
}

/** A model of a service; each of its replicas runs on a group of [size] workers. */
data class Model(
    val name: String,
    /** Workers per replica. */
    val size: Int,
    /** Initial share of the service's load, from 0 to 1. */
    val share: Double,
    /** Factor by which all times of its replicas are multiplied. */
    val pace: Double,
    /** Time, in milliseconds, to load the weights from the weight store onto a host. */
    val coldLoadMs: Long,
    /** Time, in milliseconds, to load weights that are already on the host. */
    val warmLoadMs: Long,
)

/** Capacity and timing of the model workers of a service, per replica unless stated otherwise. */
data class EngineProfile(
    /** Requests that can be in progress concurrently. */
    val slots: Int,
    val models: List<Model>,
    /** Age, in milliseconds, of the data in a worker's report. */
    val reportLagMs: Long,
    /** Loads from the weight store that may start per second, over all workers. */
    val coldLoadsPerSecond: Double,
    /** Number of concurrent loads from the weight store above which each takes longer. */
    val coldLoadsAtFullSpeed: Int,
    /** Time, in milliseconds, from the order to open until the head accepts requests. */
    val formationMs: Long,
    /** Time, in milliseconds, of a token step without the time that each request adds to it. */
    val tokenStepMs: Double,
    /** Token steps in a pass; each pass delivers events. */
    val stepsPerPass: Int,
    /** Prompt tokens read per second. */
    val promptTokensPerSecond: Double,
    /** Number of models whose weights a host keeps; staging one more replaces the oldest. */
    val retainedModels: Int = 1,
)

/** How the workers of a service bear requests after their start. */
data class ColdStart(
    /** Time, in milliseconds, for which a worker is cold after its start. */
    val durationMs: Long,
    /** Requests per second, from all processes together, that a cold worker bears. */
    val requestsPerSecond: Double,
)

/** A service and the limits of its workers; [engine] is null for a plain service, which serves no models. */
data class Service(
    val name: String,
    /** Connections that one worker accepts from all clients together. */
    val maxConnections: Int,
    val engine: EngineProfile?,
    /** Null for a service without cold workers. */
    val coldStart: ColdStart? = null,
)

/** A customer (a team, in the operators' terms) and the API keys that identify it. */
data class Customer(
    val name: String,
    val apiKeys: List<String>,
    /** Overrides the priority of the route; null if not configured. */
    val priority: Int?,
)

/** Limits on the size and timing of what a caller sends. */
data class CallerLimits(
    val maxHeaderBytes: Int,
    val maxBodyBytes: Int,
    val headerTimeoutMs: Long,
    val idleTimeoutMs: Long,
) {
    companion object {
        /** Applies until the first configuration is loaded. */
        val DEFAULT =
            CallerLimits(
                maxHeaderBytes = 16_384,
                maxBodyBytes = 4_194_304,
                headerTimeoutMs = 3_000,
                idleTimeoutMs = 15_000,
            )
    }
}

/** One version of the configuration, indexed for look-ups by request. */
class Configuration(
    val version: Long,
    val routes: List<Route>,
    services: List<Service>,
    val customers: List<Customer>,
    val limits: CallerLimits,
) {
    val services: Map<String, Service> = services.associateBy { it.name }
    private val routesByHost =
        routes.groupBy { it.host }.mapValues { (_, sameHost) ->
            sameHost.sortedByDescending { it.prefix.length }
        }
    private val customersByKey = customers.flatMap { customer -> customer.apiKeys.map { it to customer } }.toMap()

    /** Whether requests of routes that are not anonymous must carry an API key. */
    val needsKeys: Boolean get() = customers.isNotEmpty()

    /** The route of [host] with the longest prefix that matches [path]; null if there is none. */
    fun route(
        host: String,
        path: String,
    ): Route? = routesByHost[host]?.firstOrNull { path.startsWith(it.prefix) }

    /** The customer that holds [apiKey]; null if the key is unknown. */
    fun customer(apiKey: String): Customer? = customersByKey[apiKey]
}
