/*
 * The handler that callers reach: its routes and the chain that each request passes.
 */
package auburnhall.gateway

import auburnhall.core.HttpStatus
import auburnhall.core.Reason
import auburnhall.core.RequestId
import auburnhall.core.Step
import io.prometheus.metrics.expositionformats.PrometheusTextFormatWriter
import org.http4k.core.HttpHandler
import org.http4k.core.Method
import org.http4k.core.Request
import org.http4k.core.Response
import org.http4k.core.Status
import java.io.ByteArrayOutputStream

/** The handler that serves callers. */
interface Gateway : HttpHandler

/** Returns a [Gateway] made of [parts]. */
fun Gateway(parts: GatewayParts): Gateway = RealGateway(parts)

internal class RealGateway(
    private val parts: GatewayParts,
) : Gateway {
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
        val writer = ReplyWriter(parts, trail)
        return writer.write { chain.handle(Arrival(request, trail), ::route) }
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
