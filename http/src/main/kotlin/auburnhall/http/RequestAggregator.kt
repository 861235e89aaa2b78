/*
 * Collects a caller's request from the parts in which it arrives, within the limits for callers.
 */
package auburnhall.http

import auburnhall.core.CallerLimits
import auburnhall.core.Clock
import io.netty.handler.codec.http.HttpContent
import io.netty.handler.codec.http.HttpObject
import io.netty.handler.codec.http.HttpRequest
import io.netty.handler.codec.http.HttpResponseStatus
import io.netty.handler.codec.http.HttpUtil
import io.netty.handler.codec.http.LastHttpContent
import io.netty.handler.codec.http.TooLongHttpHeaderException
import java.io.ByteArrayOutputStream

/** What came of a part. */
internal sealed interface AggregationResult {
    /** More parts are needed. */
    data object More : AggregationResult

    /** The caller waits for leave to send the body. */
    data object Continue : AggregationResult

    /** The request is whole. */
    class Whole(
        val request: InboundRequest,
        /** Whether the caller keeps the connection. */
        val keepAlive: Boolean,
    ) : AggregationResult

    /** The request cannot be read and is answered with [status]. */
    class Refused(
        val status: HttpResponseStatus,
    ) : AggregationResult
}

internal class RequestAggregator(
    private val limits: CallerLimits,
    private val clock: Clock,
) {
    private val body = ByteArrayOutputStream()
    private var head: HttpRequest? = null
    private var headSince = 0L
    private var lastArrival = clock.nowMs()

    /** Whether a request is partly received. */
    val receiving: Boolean get() = head != null

    /** Notes that bytes arrived, before they are decoded. */
    fun onArrival() {
        lastArrival = clock.nowMs()
        if (headSince == 0L && head == null) headSince = lastArrival
    }

    /** Takes [part] over. */
    fun add(part: HttpObject): AggregationResult {
        if (part.decoderResult().isFailure) return AggregationResult.Refused(statusOf(part.decoderResult().cause()))
        val begun = if (part is HttpRequest) begin(part) else AggregationResult.More
        val content = part as? HttpContent
        return if (content == null || head == null || begun is AggregationResult.Refused) begun else append(content)
    }

    /** Whether the caller takes longer than the limits allow to send what it began. */
    fun isLate(): Boolean {
        val now = clock.nowMs()
        val headLate = headSince != 0L && now - headSince > limits.headerTimeoutMs
        return headLate || (head != null && now - lastArrival > limits.idleTimeoutMs)
    }

    /** Whether nothing is being received. */
    fun isIdle(): Boolean = head == null && headSince == 0L

    private fun begin(request: HttpRequest): AggregationResult {
        headSince = 0L
        head = request
        body.reset()
        val stated = HttpUtil.getContentLength(request, 0L)
        return when {
            stated > limits.maxBodyBytes -> refuse()
            HttpUtil.is100ContinueExpected(request) -> AggregationResult.Continue
            else -> AggregationResult.More
        }
    }

    private fun append(part: HttpContent): AggregationResult {
        val size = part.content().readableBytes()
        if (body.size() + size > limits.maxBodyBytes) return refuse()
        part.content().readBytes(body, size)
        return if (part is LastHttpContent) take() else AggregationResult.More
    }

    private fun take(): AggregationResult {
        val request = checkNotNull(head)
        head = null
        val bytes = body.toByteArray()
        val inbound = InboundRequest(request.method(), request.uri(), request.headers(), bytes, clock.nowMs())
        return AggregationResult.Whole(inbound, HttpUtil.isKeepAlive(request))
    }

    private fun refuse(): AggregationResult {
        head = null
        return AggregationResult.Refused(HttpResponseStatus.REQUEST_ENTITY_TOO_LARGE)
    }

    private companion object {
        fun statusOf(cause: Throwable): HttpResponseStatus =
            if (cause is TooLongHttpHeaderException) {
                HttpResponseStatus.REQUEST_HEADER_FIELDS_TOO_LARGE
            } else {
                HttpResponseStatus.BAD_REQUEST
            }
    }
}
