/*
 * Copies headers without the hop-by-hop headers, which concern one connection only and are never forwarded.
 */
package auburnhall.http

import io.netty.handler.codec.http.DefaultHttpHeadersFactory
import io.netty.handler.codec.http.HttpHeaders

private val HOP_BY_HOP_HEADERS =
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

/** Creates empty headers that do not validate names and values, for headers that were validated when received. */
fun newHeaders(): HttpHeaders = DefaultHttpHeadersFactory.headersFactory().withValidation(false).newHeaders()

/** Returns a copy without hop-by-hop headers and Content-Length, which the sender sets anew. */
fun HttpHeaders.endToEnd(): HttpHeaders {
    val namedInConnection = getAll("Connection").flatMap { it.split(',') }.map { it.trim().lowercase() }
    val copy = newHeaders()
    for ((name, value) in entries()) {
        val key = name.lowercase()
        if (key !in HOP_BY_HOP_HEADERS && key !in namedInConnection) copy.add(name, value)
    }
    return copy
}
