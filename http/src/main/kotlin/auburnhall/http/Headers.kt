/*
 * Which headers concern one connection only and are never passed on.
 */
package auburnhall.http

import io.netty.handler.codec.http.DefaultHttpHeadersFactory
import io.netty.handler.codec.http.HttpHeaders

private val CONNECTION_HEADERS =
    setOf(
        "connection",
        "keep-alive",
        "proxy-connection",
        "proxy-authenticate",
        "proxy-authorization",
        "te",
        "trailer",
        "transfer-encoding",
        "upgrade",
        "content-length",
        "expect",
    )

/** Headers without validation, for those that were received valid. */
fun newHeaders(): HttpHeaders = DefaultHttpHeadersFactory.headersFactory().withValidation(false).newHeaders()

/** A copy of these headers that may be sent on another connection; the body's length is left to the sender. */
fun HttpHeaders.endToEnd(): HttpHeaders {
    val named = getAll("Connection").flatMap { it.split(',') }.map { it.trim().lowercase() }
    val copy = newHeaders()
    for ((name, value) in entries()) {
        val key = name.lowercase()
        if (key !in CONNECTION_HEADERS && key !in named) copy.add(name, value)
    }
    return copy
}
