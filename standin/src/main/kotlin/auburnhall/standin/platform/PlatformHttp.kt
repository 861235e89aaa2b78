/*
 * The HTTP side of the platform stand-in: instance list, weights, and what tests use to set faults and read counts.
 */
package auburnhall.standin.platform

import kotlinx.serialization.SerializationException
import kotlinx.serialization.json.Json
import org.http4k.core.HttpHandler
import org.http4k.core.Method
import org.http4k.core.Request
import org.http4k.core.Response
import org.http4k.core.Status
import org.http4k.routing.bind
import org.http4k.routing.path
import org.http4k.routing.routes

/** Answers from [instances], [weights] and [store]. */
class PlatformHttp(
    private val instances: InstanceList,
    private val weights: WeightStore,
    private val store: KeyValueServer,
) {
    private val json = Json { encodeDefaults = true }

    /** The routes. */
    fun handler(): HttpHandler =
        routes(
            "/sd" bind Method.GET to { ok(json.encodeToString(instances.visible())) },
            "/instances" bind Method.POST to ::register,
            "/instances/{id}" bind Method.DELETE to ::remove,
            "/instances/{id}/leaving" bind Method.POST to ::leave,
            "/weights/{model}/{version}" bind Method.GET to ::weights,
            "/faults" bind Method.POST to ::setFaults,
            "/counts" bind Method.GET to { ok(json.encodeToString(store.counts())) },
        )

    private fun register(request: Request): Response =
        decoded(request) {
            instances.register(json.decodeFromString(it))
            ok("{}")
        }

    private fun remove(request: Request): Response {
        instances.remove(request.path("id").orEmpty())
        return ok("{}")
    }

    private fun leave(request: Request): Response {
        val known = instances.markLeaving(request.path("id").orEmpty())
        return if (known) ok("{}") else Response(Status.NOT_FOUND)
    }

    private fun weights(request: Request): Response {
        val bytes = request.query("bytes")?.toLongOrNull() ?: return Response(Status.BAD_REQUEST)
        return Response(Status.OK)
            .header("Content-Type", "application/octet-stream")
            .body(weights.open(bytes), bytes)
    }

    private fun setFaults(request: Request): Response =
        decoded(request) {
            store.setFaults(json.decodeFromString(it))
            ok("{}")
        }

    private fun decoded(
        request: Request,
        answer: (String) -> Response,
    ): Response =
        try {
            answer(request.bodyString())
        } catch (e: SerializationException) {
            Response(Status.BAD_REQUEST).body(e.message.orEmpty())
        }

    private fun ok(body: String) = Response(Status.OK).header("Content-Type", "application/json").body(body)
}
