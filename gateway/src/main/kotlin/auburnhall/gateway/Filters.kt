/*
 * Chain of filters that each request passes before it is forwarded. A filter either refuses the request, or adds what
 * it has determined (configuration, route, customer, service) and calls the next filter.
 */
package auburnhall.gateway

import auburnhall.core.Configuration
import auburnhall.core.Customer
import auburnhall.core.Route
import auburnhall.core.WeightedService
import auburnhall.http.InboundRequest
import io.netty.handler.codec.http.HttpHeaderNames
import kotlin.random.Random

/** A request and what the filters have determined about it so far. */
data class FilterContext(
    val request: InboundRequest,
    val metadata: CallerRequestMetadata,
    val configuration: Configuration? = null,
    val route: Route? = null,
    val customer: Customer? = null,
    val service: String? = null,
) {
    /** Time by which the response must be complete, in milliseconds of the monotonic clock; needs the route. */
    val deadlineMs: Long
        get() {
            val routeTimeoutMs = checkNotNull(route).timeoutMs
            return request.receivedAt + minOf(metadata.timeLeftMs ?: routeTimeoutMs, routeTimeoutMs)
        }
}

/** Result of the filter chain. */
sealed interface FilterResult {
    data class Accept(
        val accepted: AcceptedRequest,
    ) : FilterResult

    /** Respond with [status]; [reason] goes to the log only. */
    data class Refuse(
        val status: Int,
        val reason: String,
        val retryAfterMs: Long? = null,
    ) : FilterResult
}

/** One check of the chain. */
fun interface RequestFilter {
    /** Returns a refusal of [context], or the result of [next]. */
    fun check(
        context: FilterContext,
        next: (FilterContext) -> FilterResult,
    ): FilterResult
}

/** Runs [filters] in their order until one refuses the request. */
class FilterChain(
    private val filters: List<RequestFilter>,
) {
    /** Returns the result for [request] with the caller's headers [metadata]. */
    fun decide(
        request: InboundRequest,
        metadata: CallerRequestMetadata,
    ): FilterResult = run(0, FilterContext(request, metadata))

    private fun run(
        index: Int,
        context: FilterContext,
    ): FilterResult = filters.getOrNull(index)?.check(context) { run(index + 1, it) } ?: accept(context)

    private fun accept(context: FilterContext): FilterResult =
        FilterResult.Accept(
            AcceptedRequest(
                context.request,
                context.metadata,
                checkNotNull(context.configuration),
                checkNotNull(context.route),
                context.customer,
                checkNotNull(context.service),
                context.deadlineMs,
            ),
        )
}

/**
 * The chain of all filters; [current] returns the current configuration, null before the first is read, and [stop] the
 * stop of this process, null while none has begun.
 */
fun FilterChain(
    current: () -> Configuration?,
    random: Random,
    stop: () -> ProcessStop? = { null },
): FilterChain =
    FilterChain(
        listOf(
            ConfigurationFilter(current),
            RouteFilter(),
            CustomerFilter(),
            DeadlineFilter(),
            StopFilter(stop),
            TrafficSplitFilter(random),
        ),
    )

/** Refuses requests while no configuration has been read. */
internal class ConfigurationFilter(
    private val current: () -> Configuration?,
) : RequestFilter {
    override fun check(
        context: FilterContext,
        next: (FilterContext) -> FilterResult,
    ): FilterResult {
        val configuration = current() ?: return FilterResult.Refuse(UNAVAILABLE, "no configuration yet", RETRY_AFTER_MS)
        return next(context.copy(configuration = configuration))
    }

    private companion object {
        /** About the time that a starting process needs to read the configuration. */
        const val RETRY_AFTER_MS = 500L
    }
}

/** Finds the route by host and path. */
internal class RouteFilter : RequestFilter {
    override fun check(
        context: FilterContext,
        next: (FilterContext) -> FilterResult,
    ): FilterResult {
        val host =
            context.request.headers
                .get(HttpHeaderNames.HOST)
                ?.substringBefore(':')
                ?.lowercase()
                .orEmpty()
        val route =
            context.configuration?.route(host, context.request.path)
                ?: return FilterResult.Refuse(NOT_FOUND, "no route for $host${context.request.path}")
        return next(context.copy(route = route))
    }
}

/** Finds the customer by API key. */
internal class CustomerFilter : RequestFilter {
    override fun check(
        context: FilterContext,
        next: (FilterContext) -> FilterResult,
    ): FilterResult {
        val anonymous = context.route?.anonymous == true || context.configuration?.needsKeys == false
        val customer = context.metadata.apiKey?.let { context.configuration?.customer(it) }
        return when {
            anonymous -> next(context)
            customer == null -> FilterResult.Refuse(UNAUTHORIZED, "unknown API key")
            else -> next(context.copy(customer = customer))
        }
    }
}

/** Refuses requests whose deadline has passed. */
internal class DeadlineFilter : RequestFilter {
    override fun check(
        context: FilterContext,
        next: (FilterContext) -> FilterResult,
    ): FilterResult {
        val left = context.metadata.timeLeftMs
        return if (left != null && left <= 0) FilterResult.Refuse(REQUEST_TIMEOUT, "deadline passed") else next(context)
    }
}

/** Chooses one of the services of a route at random, in proportion to their weights. */
internal class TrafficSplitFilter(
    private val random: Random,
) : RequestFilter {
    override fun check(
        context: FilterContext,
        next: (FilterContext) -> FilterResult,
    ): FilterResult {
        val chosen = chooseByWeight(context.route?.services.orEmpty())
        return if (chosen ==
            null
        ) {
            FilterResult.Refuse(UNAVAILABLE, "route has no service with a positive weight", RETRY_AFTER_MS)
        } else {
            next(context.copy(service = chosen))
        }
    }

    private fun chooseByWeight(services: List<WeightedService>): String? {
        val totalWeight = services.sumOf { it.weight }
        if (totalWeight <= 0) return null
        var remaining = random.nextInt(totalWeight)
        return services
            .first {
                remaining -= it.weight
                remaining < 0
            }.service
    }

    private companion object {
        const val RETRY_AFTER_MS = 1_000L
    }
}
