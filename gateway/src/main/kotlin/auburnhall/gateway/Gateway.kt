/*
 * The handler that callers reach: routes, the chain that each request passes, and the conversion of replies.
 */
package auburnhall.gateway

import auburnhall.core.HttpStatus
import auburnhall.core.Reason
import auburnhall.core.RequestId
import auburnhall.core.RunState
import auburnhall.core.Step
import io.prometheus.metrics.expositionformats.PrometheusTextFormatWriter
import org.http4k.core.Body
import org.http4k.core.HttpHandler
import org.http4k.core.Method
import org.http4k.core.Request
import org.http4k.core.Response
import org.http4k.core.Status
import java.io.ByteArrayInputStream
import java.io.ByteArrayOutputStream
import java.io.InputStream

/** Returns the handler that serves callers. */
fun Gateway(parts: GatewayParts): HttpHandler = RealGateway(parts)

internal class RealGateway(
    private val parts: GatewayParts,
) : HttpHandler {
    private val chat = ChatHandler(parts)
    private val models = ModelsHandler()
    private val services = ServiceHandler(parts)
    private val chain =
        AcceptStage(parts.state) then
            SizeStage(parts.settings) then
            ConfigurationStage(parts.config) then
            AuthenticationStage() then
            BodyStage(parts.settings, parts.clock)

    override fun invoke(request: Request): Response =
        when (request.uri.path) {
            "/healthz" -> plain(HttpStatus.OK, "ok")
            "/readyz" -> ready()
            "/metrics" -> metrics()
            else -> serve(request)
        }

    private fun serve(request: Request): Response {
        val trail = RequestTrail(parts, newRequestId())
        val guard = ProgressGuard(parts, trail)
        return guard.run { toResponse(chain.handle(Arrival(request, trail), ::route), trail, guard) }
    }

    private fun route(call: Call): Reply {
        val path = call.request.uri.path
        val method = call.request.method
        return when {
            path == CHAT_PATH && method == Method.POST -> chat.handle(call)
            path == MODELS_PATH && method == Method.GET -> models.handle(call)
            path.startsWith(SERVICES_PREFIX) -> services.handle(call)
            else -> refused(Reason.UNKNOWN_TARGET, Step.ROUTE, "self", "There is nothing at $method $path.")
        }
    }

    private fun toResponse(
        reply: Reply,
        trail: RequestTrail,
        guard: ProgressGuard,
    ): Response =
        when (reply) {
            is Reply.Streamed -> streamed(reply, trail, guard)
            is Reply.Whole -> {
                trail.end(reply.status, reply.runState)
                whole(reply, trail, guard)
            }
            is Reply.Refused -> {
                trail.refuse(reply.refusal)
                trail.endRefused()
                whole(refusalReply(reply, trail), trail, guard)
            }
        }

    private fun refusalReply(
        reply: Reply.Refused,
        trail: RequestTrail,
    ): Reply.Whole {
        val retry = reply.refusal.retryAfterSeconds?.let { HeaderField("Retry-After", it.toString()) }
        val json = reply.refusal.toJson(trail.requestId, reply.param)
        return Reply.Whole(reply.refusal.reason.status, JSON, json.toByteArray(), listOfNotNull(retry))
    }

    private fun whole(
        reply: Reply.Whole,
        trail: RequestTrail,
        guard: ProgressGuard,
    ): Response {
        val start = response(reply.status, reply.contentType, trail)
        val head = reply.headers.fold(start) { r, h -> r.header(h.name, h.value) }
        val size = reply.body.size
        val body = guard.guarded(ByteArrayInputStream(reply.body))
        return head.header("Content-Length", size.toString()).body(Body(body, size.toLong()))
    }

    private fun streamed(
        reply: Reply.Streamed,
        trail: RequestTrail,
        guard: ProgressGuard,
    ): Response =
        response(HttpStatus.OK, reply.contentType, trail)
            .header("Cache-Control", "no-cache")
            .body(Body(guard.guarded(reply.body)))

    private fun response(
        status: Int,
        contentType: String,
        trail: RequestTrail,
    ) = Response(Status(status, null))
        .header("Content-Type", contentType)
        .header("X-Request-Id", trail.requestId.value)

    private fun ready(): Response =
        when (val state = parts.state()) {
            GatewayState.SERVING -> plain(HttpStatus.OK, "ready")
            else -> plain(HttpStatus.UNAVAILABLE, state.name.lowercase())
        }

    private fun metrics(): Response {
        val out = ByteArrayOutputStream()
        val writer = PrometheusTextFormatWriter.create()
        writer.write(out, parts.metrics.scrape())
        return Response(Status.OK).header("Content-Type", writer.contentType).body(out.toString(Charsets.UTF_8))
    }

    private fun plain(
        status: Int,
        text: String,
    ) = Response(Status(status, null)).header("Content-Type", "text/plain").body("$text\n")

    private fun newRequestId(): RequestId {
        val (high, low) = synchronized(parts.random) { parts.random.nextLong() to parts.random.nextLong() }
        return RequestId("req_%016x%016x".format(high, low))
    }

    private companion object {
        const val CHAT_PATH = "/v1/chat/completions"
        const val MODELS_PATH = "/v1/models"
        const val SERVICES_PREFIX = "/services/"
    }
}

internal const val JSON = "application/json"

/** Counts one request as in progress until the body of its answer is closed, or serving it failed. */
private class ProgressGuard(
    private val parts: GatewayParts,
    private val trail: RequestTrail,
) {
    private var handedOver = false

    fun run(serve: () -> Response): Response {
        parts.inProgress.begin()
        parts.listener.onStart(trail.requestId)
        try {
            return serve()
        } finally {
            if (!handedOver) end()
        }
    }

    fun guarded(body: InputStream): InputStream {
        handedOver = true
        return ClosingStream(body, ::end)
    }

    private fun end() {
        trail.end(HttpStatus.INTERNAL_ERROR, RunState.MAY_HAVE_RUN)
        parts.inProgress.end()
    }
}
