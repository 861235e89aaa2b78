/*
 * A request that is to be forwarded, with all that was determined about it before.
 */
package auburnhall.gateway

import auburnhall.core.Configuration
import auburnhall.core.Customer
import auburnhall.core.Route
import auburnhall.http.InboundRequest

/** A request that has passed all filters. */
data class AcceptedRequest(
    val request: InboundRequest,
    val metadata: CallerRequestMetadata,
    val configuration: Configuration,
    val route: Route,
    val customer: Customer?,
    val service: String,
    /** Time by which the response must be complete, in milliseconds of the monotonic clock. */
    val deadlineMs: Long,
    /** What the process states that has passed it on to this one; null for a caller's. */
    val passOn: PassOn? = null,
) {
    /** This request as [passOn] states it; unchanged if that is null. */
    fun passedOn(passOn: PassOn?): AcceptedRequest =
        if (passOn == null) {
            this
        } else {
            copy(route = route.copy(maxAttempts = minOf(route.maxAttempts, passOn.attemptsLeft)), passOn = passOn)
        }

    /** Request id for log events; "-" if the caller sent none. */
    val id: String get() = metadata.id ?: "-"

    /** What its targets serve: the model, or the plain service. */
    val served: String get() = metadata.model?.takeIf { configuration.services[service]?.engine != null } ?: service
}
