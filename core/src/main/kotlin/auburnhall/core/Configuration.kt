/*
 * The configuration that the operators write: routes, services, customers and limits. A version is always whole;
 * versions only rise.
 */
package auburnhall.core

/** What may be repeated of a request. */
enum class RequestKind {
    /** May run more than once. */
    IDEMPOTENT,

    /** Runs at most once for each request. */
    NON_IDEMPOTENT,

    /** Answers with a series of events; may be repeated only where the route allows it to be resumed. */
    STREAMING,
}

/** A service with its share of a route's requests; [weight] is 0 or more. */
data class WeightedService(
    val service: String,
    val weight: Int,
)

/** Which requests go to which services, and within which bounds. */
data class Route(
    val name: String,
    val host: String,
    /** Begins and ends with a slash. */
    val prefix: String,
    val kind: RequestKind,
    /** Longest time, in milliseconds, that a caller is kept waiting for the whole answer. */
    val timeoutMs: Long,
    /** Time, in milliseconds, within which the answer, or the first event of a stream, is on time. */
    val targetLatencyMs: Long,
    /** 0 is served first. */
    val priority: Int,
    val services: List<WeightedService>,
    /** Number of workers that one request may be sent to. */
    val maxAttempts: Int,
    /** Whether requests need no API key. */
    val anonymous: Boolean,
    /** Whether a stream that broke off may go on at another worker. */
    val resumable: Boolean,
    /** Longest pause, in milliseconds, between events of a stream that is on time; null where none is stated. */
    val targetEventGapMs: Long?,
) {
    /** Whether a request that may have run may be sent to another worker. */
    val repeatable: Boolean
        get() = kind == RequestKind.IDEMPOTENT || (kind == RequestKind.STREAMING && resumable)
}

/** A model that a service serves, each replica of it on a group of workers. */
data class Model(
    val name: String,
    /** Workers in a replica. */
    val size: Int,
    /** Share of the service's work at the start, from 0 to 1. */
    val share: Double,
    /** Factor on all times of its replicas. */
    val pace: Double,
    /** Time, in milliseconds, to load the weights from the weight store onto a host. */
    val coldLoadMs: Long,
    /** Time, in milliseconds, to load the weights from the host. */
    val warmLoadMs: Long,
)

/** How the model workers of a service work. Figures are per replica. */
data class EngineProfile(
    /** Requests in progress at once. */
    val slots: Int,
    val models: List<Model>,
    /** Age, in milliseconds, of what a worker reports. */
    val reportLagMs: Long,
    /** Loads from the weight store that may start in a second, over all workers. */
    val coldLoadsPerSecond: Double,
    /** Loads from the weight store at once beyond which each takes longer. */
    val coldLoadsAtFullSpeed: Int,
    /** Time, in milliseconds, from the order to serve until the head serves. */
    val formationMs: Long,
    /** Time, in milliseconds, of a token step before what each request adds. */
    val tokenStepMs: Double,
    /** Token steps of a pass that delivers events. */
    val stepsPerPass: Int,
    /** Prompt tokens read in a second. */
    val promptTokensPerSecond: Double,
)

/** A service and its workers' limits; [engine] is null for a plain service. */
data class Service(
    val name: String,
    /** Connections that a worker accepts from all callers together. */
    val maxConnections: Int,
    val engine: EngineProfile?,
)

/** A customer (the operators' team) and the API keys that prove who calls. */
data class Customer(
    val name: String,
    val apiKeys: List<String>,
    /** Takes precedence over the route's priority; null where none is stated. */
    val priority: Int?,
)

/** What a caller may send, and how long it may take. */
data class CallerLimits(
    val maxHeaderBytes: Int,
    val maxBodyBytes: Int,
    val headerTimeoutMs: Long,
    val idleTimeoutMs: Long,
) {
    companion object {
        /** Applies until the first configuration is known. */
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
        routes.groupBy { it.host }.mapValues { (_, of) ->
            of.sortedByDescending { it.prefix.length }
        }
    private val customersByKey = customers.flatMap { of -> of.apiKeys.map { it to of } }.toMap()

    /** Whether requests have to prove which customer they come from. */
    val needsKeys: Boolean get() = customers.isNotEmpty()

    /** The route of [host] with the longest prefix that begins [path]; null when there is none. */
    fun route(
        host: String,
        path: String,
    ): Route? = routesByHost[host]?.firstOrNull { path.startsWith(it.prefix) }

    /** The customer that holds [apiKey]; null when the key is unknown. */
    fun customer(apiKey: String): Customer? = customersByKey[apiKey]
}
