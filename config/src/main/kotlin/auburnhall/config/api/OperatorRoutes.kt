/*
 * The operators' HTTP interface of an entry process.
 */
package auburnhall.config.api

import auburnhall.config.OperatorService
import auburnhall.core.Explanation
import auburnhall.core.RequestId
import kotlinx.serialization.SerializationException
import org.http4k.core.Filter
import org.http4k.core.HttpHandler
import org.http4k.core.Method
import org.http4k.core.Request
import org.http4k.core.Response
import org.http4k.core.Status
import org.http4k.core.then
import org.http4k.routing.bind
import org.http4k.routing.path
import org.http4k.routing.routes

/**
 * Returns the handler of everything under [OperatorPaths]. [operatorName] tells the operator whose key a request bears;
 * null refuses the request.
 */
fun operatorRoutes(
    service: OperatorService,
    status: () -> FleetStatus,
    explain: (RequestId) -> List<Explanation>,
    operatorName: (Request) -> String?,
): HttpHandler =
    badBodyFilter()
        .then(operatorFilter(operatorName))
        .then(
            routes(
                OperatorPaths.LISTS bind Method.GET to { lists(service) },
                OperatorPaths.APPLY bind Method.POST to { apply(service, it, operatorName(it).orEmpty()) },
                OperatorPaths.AUDIT bind Method.GET to { audit(service) },
                OperatorPaths.DRAINS bind Method.GET to { drains(service) },
                OperatorPaths.DRAINS bind Method.POST to { drain(service, it, operatorName(it).orEmpty()) },
                OperatorPaths.DRAINS bind Method.DELETE to { cancelDrain(service, it) },
                OperatorPaths.STATUS bind Method.GET to { reply(Status.OK, FleetStatus.serializer(), status()) },
                "${OperatorPaths.EXPLANATIONS}/{id}" bind Method.GET to { explanations(it, explain) },
            ),
        )

private fun badBodyFilter() =
    Filter { next ->
        { request ->
            try {
                next(request)
            } catch (e: SerializationException) {
                error(
                    Status.BAD_REQUEST,
                    e.message
                        .orEmpty()
                        .lineSequence()
                        .first(),
                )
            }
        }
    }

private fun operatorFilter(operatorName: (Request) -> String?) =
    Filter { next ->
        { request -> if (operatorName(request) == null) unauthorised() else next(request) }
    }

private fun unauthorised() =
    error(Status.UNAUTHORIZED, "the operator key is not known").header("WWW-Authenticate", "Bearer")

private fun explanations(
    request: Request,
    explain: (RequestId) -> List<Explanation>,
): Response {
    val found = explain(RequestId(request.path("id").orEmpty()))
    return reply(Status.OK, ExplanationsReply.serializer(), ExplanationsReply(found))
}
