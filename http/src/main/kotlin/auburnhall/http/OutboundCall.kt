/*
 * A request of ours to another process, and what comes back.
 */
package auburnhall.http

import auburnhall.core.Address
import io.netty.buffer.ByteBuf
import io.netty.handler.codec.http.HttpHeaders
import io.netty.handler.codec.http.HttpMethod

/** A header that a response repeats from its request, by which late responses to other requests are told apart. */
data class Correlation(
    val header: String,
    val value: String,
)

/** A request to send; [headers] must not name the body's length. */
data class OutboundRequest(
    val method: HttpMethod,
    val uri: String,
    val headers: HttpHeaders,
    val body: ByteArray,
    val correlation: Correlation? = null,
)

/** How a call is made. */
data class CallOptions(
    /** Time, in milliseconds, to establish a connection. */
    val connectTimeoutMs: Int,
    /** Idle connections that rested longer, in milliseconds, are not used for this call. */
    val maxIdleMs: Long,
)

/** Where a call failed. */
enum class CallStep { CONNECT, AWAIT_RESPONSE, READ_BODY }

/** Why a call has no complete response. */
data class CallFailure(
    val step: CallStep,
    val peer: Address,
    val cause: String,
) {
    /** Whether any byte of the request may have reached the peer. */
    val sent: Boolean get() = step != CallStep.CONNECT
}

/** Receives a response on the event loop of the client; after [onEnd] or [onFailure] nothing more. */
interface ResponseListener {
    /** Called once with the status and headers. */
    fun onHead(
        status: Int,
        headers: HttpHeaders,
    )

    /** Called with each part of the body; [content] is released after the call. */
    fun onContent(content: ByteBuf)

    /** Called when the whole body was received. */
    fun onEnd()

    /** Called when the response cannot be completed. */
    fun onFailure(failure: CallFailure)
}

/** A call in progress. */
interface OutboundCall {
    /** Ends the call; its connection is closed and the listener hears nothing more. */
    fun cancel()
}
