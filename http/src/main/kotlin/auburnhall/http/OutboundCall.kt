/*
 * An HTTP request of this process to another one, and its response.
 */
package auburnhall.http

import auburnhall.core.Address
import io.netty.buffer.ByteBuf
import io.netty.handler.codec.http.DefaultFullHttpRequest
import io.netty.handler.codec.http.EmptyHttpHeaders
import io.netty.handler.codec.http.FullHttpRequest
import io.netty.handler.codec.http.HttpHeaderNames
import io.netty.handler.codec.http.HttpHeaders
import io.netty.handler.codec.http.HttpMethod
import io.netty.handler.codec.http.HttpVersion

/** A header that a response copies from its request, by which a late response to another request is recognised. */
data class Correlation(
    val header: String,
    val value: String,
)

/** A request to send once; Content-Length is set in [headers], from [body]. */
data class OutboundRequest(
    val method: HttpMethod,
    val uri: String,
    val headers: HttpHeaders,
    val body: HttpBody,
    val correlation: Correlation? = null,
)

/** The request as it is encoded. */
internal fun OutboundRequest.toMessage(): FullHttpRequest {
    val message =
        DefaultFullHttpRequest(
            HttpVersion.HTTP_1_1,
            method,
            uri,
            body.toByteBuf(),
            headers,
            EmptyHttpHeaders.INSTANCE,
        )
    if (body.size > 0 || method != HttpMethod.GET) headers.set(HttpHeaderNames.CONTENT_LENGTH, body.size)
    return message
}

/** Limits for one call. */
data class CallOptions(
    /** Time, in milliseconds, in which a connection must be established. */
    val connectTimeoutMs: Int,
    /** Connections that were idle for longer, in milliseconds, are not used for this call. */
    val maxIdleMs: Long,
    /** Whether the connection may have carried other calls, and may carry more. */
    val pooled: Boolean = true,
)

/** The step at which a call failed. */
enum class CallStep { CONNECT, AWAIT_RESPONSE, READ_BODY }

/** Why a call did not get a complete response. */
data class CallFailure(
    val step: CallStep,
    val peer: Address,
    val cause: String,
    /** Whether the peer closed or reset the connection, as a process that ends does. */
    val closedByPeer: Boolean = false,
    /** Calls that its connection had carried before; 0 on a new one. */
    val earlierCalls: Int = 0,
    /** Interim and late responses that were dropped while it was in progress. */
    val droppedResponses: Int = 0,
) {
    /** Whether any byte of the request may have reached the peer. */
    val sent: Boolean get() = step != CallStep.CONNECT
}

/** How a response states where its body ends. */
enum class Framing {
    LENGTH,
    CHUNKED,

    /** Not at all: the body ends with the connection. */
    CLOSE,
}

/** Receives a response on the event loop of the client; [onEnd] or [onFailure] is the last call. */
interface ResponseListener {
    /** Called once, before the body. */
    fun onHead(
        status: Int,
        headers: HttpHeaders,
        framing: Framing,
    )

    /** Called with each part of the body; [content] is released after the call. */
    fun onContent(content: ByteBuf)

    /** Called when the complete body was received. */
    fun onEnd()

    /** Called when the response cannot be completed. */
    fun onFailure(failure: CallFailure)
}

/** A call in progress. */
interface OutboundCall {
    /** Whether its connection is being established, so that nothing was sent. */
    val isConnecting: Boolean get() = false

    /** Whether the response is read; while it is not, the peer is held back by the connection's flow control. */
    fun setReading(reading: Boolean)

    /** Cancels the call: its connection is closed and the listener is not called any more. */
    fun cancel()
}
