/*
 * Aggregates the parts of a caller's request into a complete request, within the limits for callers and the memory that
 * all requests share.
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

/** Result of adding one part. */
internal sealed interface AggregationResult {
    /** Releases the memory that the result holds. */
    fun release() = Unit

    /** More parts are needed. */
    data object Incomplete : AggregationResult

    /** There is no memory for the part, which was not added; it may be added again later. */
    data object NoMemory : AggregationResult

    /** The caller waits for status 100 (Continue) before it sends the body. */
    data object Continue : AggregationResult

    /** The request is complete. */
    class Complete(
        val request: InboundRequest,
        /** The memory of the request's body; to be released when the request has ended. */
        val memory: HeldMemory,
        /** Whether the caller keeps the connection open. */
        val keepAlive: Boolean,
    ) : AggregationResult {
        override fun release() = memory.release()
    }

    /** The request is malformed or too large, and gets [status] as its response. */
    class Refused(
        val status: HttpResponseStatus,
    ) : AggregationResult
}

internal class RequestAggregator(
    private val limits: CallerLimits,
    private val clock: Clock,
    private val memory: RequestMemory,
) {
    private var body = HttpBodyBuilder()
    private var held = memory.open()
    private var head: HttpRequest? = null

    /** Length of the body as the head states it; 0 if it states none. */
    private var statedBytes = 0L

    /** Whether the body has waited for memory; it then goes on only when all of it fits. */
    private var waited = false

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

    /** Drops the request that is being received. */
    fun abandon() {
        head = null
        held.release()
        body = HttpBodyBuilder()
        waited = false
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
        statedBytes = HttpUtil.getContentLength(request, 0L)
        return when {
            request.hasUnknownTransferCoding() -> refuse(HttpResponseStatus.BAD_REQUEST)
            statedBytes > limits.maxBodyBytes -> refuse(HttpResponseStatus.REQUEST_ENTITY_TOO_LARGE)
            HttpUtil.is100ContinueExpected(request) -> AggregationResult.Continue
            else -> AggregationResult.Incomplete
        }
    }

    private fun append(part: HttpContent): AggregationResult {
        val size = part.content().readableBytes()
        return when {
            body.size + size > limits.maxBodyBytes -> refuse(HttpResponseStatus.REQUEST_ENTITY_TOO_LARGE)
            !held.raiseTo(neededWith(size)) -> AggregationResult.NoMemory.also { waited = true }
            else -> appendHeld(part)
        }
    }

    /** Bytes of memory that the body needs to go on with [added] more bytes. */
    private fun neededWith(added: Int): Int {
        val rest = if (waited) statedBytes - body.size else 0L
        return body.allocatedWith(maxOf(added, rest.toInt()))
    }

    private fun appendHeld(part: HttpContent): AggregationResult {
        body.append(part.content())
        return if (part is LastHttpContent) takeRequest() else AggregationResult.Incomplete
    }

    private fun takeRequest(): AggregationResult {
        val request = checkNotNull(head)
        val inbound = InboundRequest(request.method(), request.uri(), request.headers(), body.build(), clock.nowMs())
        val complete = AggregationResult.Complete(inbound, held, HttpUtil.isKeepAlive(request))
        head = null
        held = memory.open()
        body = HttpBodyBuilder()
        waited = false
        return complete
    }

    private fun refuse(status: HttpResponseStatus): AggregationResult {
        abandon()
        return AggregationResult.Refused(status)
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
