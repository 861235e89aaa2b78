/*
 * The checks that a request passes before it is forwarded, as a chain: each filter refuses it, or adds what it found
 * out and hands it on.
 */
package auburnhall.gateway

import auburnhall.core.Configuration
import auburnhall.core.Customer
import auburnhall.core.Route
import auburnhall.core.WeightedService
import auburnhall.http.InboundRequest
import io.netty.handler.codec.http.HttpHeaderNames
import kotlin.random.Random

/** A request on its way through the filters. */
data class FilterContext(
    val request: InboundRequest,
    val metadata: CallerRequestMetadata,
    val configuration: Configuration? = null,
    val route: Route? = null,
    val customer: Customer? = null,
    val service: String? = null,
)

/** A request that may be forwarded. */
data class AcceptedRequest(
    val request: InboundRequest,
    val metadata: CallerRequestMetadata,
    val configuration: Configuration,
    val route: Route,
    val customer: Customer?,
    val service: String,
    /** When the answer must be complete, by the monotonic clock. */
    val deadline: Long,
) {
    /** The id for log lines. */
    val id: String get() = metadata.id ?: "-"
}

/** What the filters decided. */
sealed interface FilterResult {
    data class Accept(
        val accepted: AcceptedRequest,
    ) : FilterResult

    /** Answer [status]; [reason] is for the log. */
    data class Refuse(
        val status: Int,
        val reason: String,
        val retryAfterMs: Long? = null,
    ) : FilterResult
}

/** One check. */
fun interface RequestFilter {
    /** Refuses [draft], or returns what [next] says of it. */
    fun check(
        draft: FilterContext,
        next: (FilterContext) -> FilterResult,
    ): FilterResult
}

/** The filters in the order in which they are asked. */
class FilterChain(
    private val filters: List<RequestFilter>,
) {
    /** Runs all filters on a request. */
    fun decide(
        request: InboundRequest,
        metadata: CallerRequestMetadata,
    ): FilterResult = run(0, FilterContext(request, metadata))

    private fun run(
        index: Int,
        draft: FilterContext,
    ): FilterResult = filters.getOrNull(index)?.check(draft) { run(index + 1, it) } ?: accept(draft)

    private fun accept(draft: FilterContext): FilterResult {
        val route = checkNotNull(draft.route)
        val patience = minOf(draft.metadata.timeLeftMs ?: route.timeoutMs, route.timeoutMs)
        return FilterResult.Accept(
            AcceptedRequest(
                draft.request,
                draft.metadata,
                checkNotNull(draft.configuration),
                route,
                draft.customer,
                checkNotNull(draft.service),
                draft.request.receivedAt + patience,
            ),
        )
    }
}

/** The chain that serves callers under the configuration that [current] returns. */
fun FilterChain(
    current: () -> Configuration?,
    random: Random,
): FilterChain =
    FilterChain(
        listOf(
            ConfigurationFilter(current),
            RouteFilter(),
            CustomerFilter(),
            DeadlineFilter(),
            TrafficSplitFilter(random),
        ),
    )

/** Refuses while no configuration is known. */
internal class ConfigurationFilter(
    private val current: () -> Configuration?,
) : RequestFilter {
    override fun check(
        draft: FilterContext,
        next: (FilterContext) -> FilterResult,
    ): FilterResult {
        val configuration = current() ?: return FilterResult.Refuse(UNAVAILABLE, "no configuration yet", RETRY_MS)
        return next(draft.copy(configuration = configuration))
    }

    private companion object {
        /** About the time in which a process that starts reads the configuration. */
        const val RETRY_MS = 500L
    }
}

/** Finds the route by host and path. */
internal class RouteFilter : RequestFilter {
    override fun check(
        draft: FilterContext,
        next: (FilterContext) -> FilterResult,
    ): FilterResult {
        val host =
            draft.request.headers
                .get(HttpHeaderNames.HOST)
                ?.substringBefore(':')
                ?.lowercase()
                .orEmpty()
        val route =
            draft.configuration?.route(host, draft.request.path)
                ?: return FilterResult.Refuse(NOT_FOUND, "no route for $host${draft.request.path}")
        return next(draft.copy(route = route))
    }
}

/** Finds the customer by API key. */
internal class CustomerFilter : RequestFilter {
    override fun check(
        draft: FilterContext,
        next: (FilterContext) -> FilterResult,
    ): FilterResult {
        val anonymous = draft.route?.anonymous == true || draft.configuration?.needsKeys == false
        val customer = draft.metadata.apiKey?.let { draft.configuration?.customer(it) }
        return when {
            anonymous -> next(draft)
            customer == null -> FilterResult.Refuse(UNAUTHORIZED, "unknown API key")
            else -> next(draft.copy(customer = customer))
        }
    }
}

/** Refuses requests whose time is over. */
internal class DeadlineFilter : RequestFilter {
    override fun check(
        draft: FilterContext,
        next: (FilterContext) -> FilterResult,
    ): FilterResult {
        val left = draft.metadata.timeLeftMs
        return if (left != null && left <= 0) FilterResult.Refuse(REQUEST_TIMEOUT, "no time left") else next(draft)
    }
}

/** Draws the service among those that share a route. */
internal class TrafficSplitFilter(
    private val random: Random,
) : RequestFilter {
    override fun check(
        draft: FilterContext,
        next: (FilterContext) -> FilterResult,
    ): FilterResult {
        val chosen = draw(draft.route?.services.orEmpty())
        return if (chosen ==
            null
        ) {
            FilterResult.Refuse(UNAVAILABLE, "route has no service", RETRY_MS)
        } else {
            next(draft.copy(service = chosen))
        }
    }

    private fun draw(shares: List<WeightedService>): String? {
        val total = shares.sumOf { it.weight }
        if (total <= 0) return null
        var drawn = random.nextInt(total)
        return shares
            .first {
                drawn -= it.weight
                drawn < 0
            }.service
    }

    private companion object {
        const val RETRY_MS = 1_000L
    }
}

internal const val UNAUTHORIZED = 401
internal const val NOT_FOUND = 404
internal const val REQUEST_TIMEOUT = 408
internal const val BAD_GATEWAY = 502
internal const val UNAVAILABLE = 503
internal const val GATEWAY_TIMEOUT = 504
