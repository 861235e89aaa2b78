/*
 * Aggregates the parts of a caller's request into a complete request, within the limits for callers.
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

/** Result of adding one part. */
internal sealed interface AggregationResult {
    /** More parts are needed. */
    data object Incomplete : AggregationResult

    /** The caller waits for status 100 (Continue) before it sends the body. */
    data object Continue : AggregationResult

    /** The request is complete. */
    class Complete(
        val request: InboundRequest,
        /** Whether the caller keeps the connection open. */
        val keepAlive: Boolean,
    ) : AggregationResult

    /** The request is malformed or too large, and gets [status] as its response. */
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

    /** When the first bytes of a request arrived; 0 while none has started and once its head is complete. */
    private var headStartedAtMs = 0L
    private var lastArrivalAtMs = clock.nowMs()

    /** Whether a request is partly received. */
    val receiving: Boolean get() = head != null

    /** Records that bytes arrived, before they are decoded. */
    fun onArrival() {
        lastArrivalAtMs = clock.nowMs()
        if (headStartedAtMs == 0L && head == null) headStartedAtMs = lastArrivalAtMs
    }

    /** Adds [part] to the current request. */
    fun add(part: HttpObject): AggregationResult {
        if (part.decoderResult().isFailure) return AggregationResult.Refused(statusOf(part.decoderResult().cause()))
        val result = if (part is HttpRequest) beginRequest(part) else AggregationResult.Incomplete
        val content = part as? HttpContent
        return if (content == null || head == null || result is AggregationResult.Refused) result else append(content)
    }

    /**
     * When the request that is being received exceeds the header timeout, or the idle timeout within a request, in
     * milliseconds of the monotonic clock; null while nothing is being received.
     */
    fun timeoutAtMs(): Long? =
        when {
            head != null -> lastArrivalAtMs + limits.idleTimeoutMs
            headStartedAtMs != 0L -> headStartedAtMs + limits.headerTimeoutMs
            else -> null
        }

    private fun beginRequest(request: HttpRequest): AggregationResult {
        headStartedAtMs = 0L
        head = request
        body.reset()
        val contentLength = HttpUtil.getContentLength(request, 0L)
        return when {
            contentLength > limits.maxBodyBytes -> refuseTooLarge()
            HttpUtil.is100ContinueExpected(request) -> AggregationResult.Continue
            else -> AggregationResult.Incomplete
        }
    }

    private fun append(part: HttpContent): AggregationResult {
        val size = part.content().readableBytes()
        if (body.size() + size > limits.maxBodyBytes) return refuseTooLarge()
        part.content().readBytes(body, size)
        return if (part is LastHttpContent) takeRequest() else AggregationResult.Incomplete
    }

    private fun takeRequest(): AggregationResult {
        val request = checkNotNull(head)
        head = null
        val bytes = body.toByteArray()
        val inbound = InboundRequest(request.method(), request.uri(), request.headers(), bytes, clock.nowMs())
        return AggregationResult.Complete(inbound, HttpUtil.isKeepAlive(request))
    }

    private fun refuseTooLarge(): AggregationResult {
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
