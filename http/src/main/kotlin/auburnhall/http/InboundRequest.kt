/*
 * A caller's request, and the interfaces to handle it and respond to it.
 */
package auburnhall.http

import io.netty.buffer.ByteBuf
import io.netty.handler.codec.http.HttpHeaders
import io.netty.handler.codec.http.HttpMethod

/** A request that was received completely. */
class InboundRequest(
    val method: HttpMethod,
    val uri: String,
    val headers: HttpHeaders,
    val body: HttpBody,
    /** When its last byte was received, in milliseconds of the monotonic clock. */
    val receivedAt: Long,
) {
    /** The path without the query. */
    val path: String get() = uri.substringBefore('?')
}

/** Responds to one request: either with [send], or with [start], any number of [write], and [finish] or [abort]. */
interface ResponseWriter {
    /** Called when the caller's connection is closed before the response is complete. */
    var onDisconnect: (() -> Unit)?

    /** Called when [writable] has changed. */
    var onWritabilityChange: (() -> Unit)?

    /** Whether the caller keeps up with what is written; a writer that does not wait for it fills the memory. */
    val writable: Boolean

    /** Sends a complete response; [onReleased] is called when its bytes are no longer held in memory. */
    fun send(
        status: Int,
        headers: HttpHeaders,
        body: ByteArray,
        onReleased: () -> Unit = {},
    )

    /** Starts a response of unknown length. */
    fun start(
        status: Int,
        headers: HttpHeaders,
    )

    /** Sends part of a started response; releases [content]. */
    fun write(content: ByteBuf)

    /** Completes a started response. */
    fun finish()

    /** Ends the connection without the end of the response, so that what the caller receives does not look complete. */
    fun abort()
}

/** Handles requests on the event loop of their connection. */
fun interface RequestHandler {
    fun onRequest(
        request: InboundRequest,
        response: ResponseWriter,
    )
}
