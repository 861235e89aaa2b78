/*
 * Turns replies into HTTP responses, and ends the trail of each request.
 */
package auburnhall.gateway

import auburnhall.core.HttpStatus
import auburnhall.core.RunState
import org.http4k.core.Body
import org.http4k.core.Response
import org.http4k.core.Status
import java.io.ByteArrayInputStream
import java.io.InputStream

internal const val JSON = "application/json"

/** Writes the reply to one request, which counts as in progress until the body of the response is closed. */
internal class ReplyWriter(
    private val parts: GatewayParts,
    private val trail: RequestTrail,
) {
    private var handedOver = false

    /** Returns the response for what [serve] replies. */
    fun write(serve: () -> Reply): Response {
        parts.inProgress.begin()
        parts.listener.onStart(trail.requestId)
        try {
            return toResponse(serve())
        } finally {
            if (!handedOver) end()
        }
    }

    private fun toResponse(reply: Reply): Response =
        when (reply) {
            is Reply.Streamed -> streamed(reply)
            is Reply.Whole -> {
                trail.end(reply.status, reply.runState)
                whole(reply)
            }
            is Reply.Refused -> {
                trail.refuse(reply.refusal)
                trail.endRefused()
                whole(refusalReply(reply))
            }
        }

    private fun refusalReply(reply: Reply.Refused): Reply.Whole {
        val retry = reply.refusal.retryAfterSeconds?.let { HeaderField("Retry-After", it.toString()) }
        val status = reply.refusal.reason.status
        val challenge = if (status == HttpStatus.UNAUTHORIZED) HeaderField("WWW-Authenticate", "Bearer") else null
        val json = reply.refusal.toJson(trail.requestId, reply.param)
        return Reply.Whole(status, JSON, json.toByteArray(), listOfNotNull(retry, challenge))
    }

    private fun whole(reply: Reply.Whole): Response {
        val head = reply.headers.fold(response(reply.status, reply.contentType)) { r, h -> r.header(h.name, h.value) }
        val size = reply.body.size
        val body = counted(ByteArrayInputStream(reply.body))
        return head.header("Content-Length", size.toString()).body(Body(body, size.toLong()))
    }

    private fun streamed(reply: Reply.Streamed): Response =
        response(HttpStatus.OK, reply.contentType)
            .header("Cache-Control", "no-cache")
            .body(Body(counted(reply.body)))

    private fun response(
        status: Int,
        contentType: String,
    ) = Response(Status(status, null))
        .header("Content-Type", contentType)
        .header("X-Request-Id", trail.requestId.value)

    private fun counted(body: InputStream): InputStream {
        handedOver = true
        return ClosingStream(body, ::end)
    }

    private fun end() {
        trail.end(HttpStatus.INTERNAL_ERROR, RunState.MAY_HAVE_RUN)
        parts.inProgress.end()
    }
}
