/*
 * A caller's request, and the means to answer it.
 */
package auburnhall.http

import io.netty.buffer.ByteBuf
import io.netty.handler.codec.http.HttpHeaders
import io.netty.handler.codec.http.HttpMethod

/** A request that was received whole. */
class InboundRequest(
    val method: HttpMethod,
    val uri: String,
    val headers: HttpHeaders,
    val body: ByteArray,
    /** When its last byte was received, by the monotonic clock. */
    val receivedAt: Long,
) {
    /** The path without the query. */
    val path: String get() = uri.substringBefore('?')
}

/** Answers one request; each answer is either whole, or started and then finished or aborted. */
interface ResponseWriter {
    /** Called when the caller's connection is gone before the answer is complete. */
    var onDisconnect: (() -> Unit)?

    /** Sends a whole answer. */
    fun send(
        status: Int,
        headers: HttpHeaders,
        body: ByteArray,
    )

    /** Begins an answer of unknown length. */
    fun start(
        status: Int,
        headers: HttpHeaders,
    )

    /** Sends part of a started answer; takes over [content]. */
    fun write(content: ByteBuf)

    /** Completes a started answer. */
    fun finish()

    /** Breaks off, so that the caller cannot take what it got for a complete answer. */
    fun abort()
}

/** Serves requests on the event loop of their connection. */
fun interface RequestHandler {
    fun onRequest(
        request: InboundRequest,
        response: ResponseWriter,
    )
}
