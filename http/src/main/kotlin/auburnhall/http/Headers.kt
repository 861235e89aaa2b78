/*
 * Copies headers without the hop-by-hop headers, which concern one connection only and are never forwarded.
 */
package auburnhall.http

import io.netty.handler.codec.http.DefaultHttpHeadersFactory
import io.netty.handler.codec.http.HttpHeaderNames
import io.netty.handler.codec.http.HttpHeaders
import io.netty.util.AsciiString

private val DROPPED_HEADERS =
    listOf(
        HttpHeaderNames.CONNECTION,
        AsciiString.cached("keep-alive"),
        AsciiString.cached("proxy-connection"),
        HttpHeaderNames.PROXY_AUTHENTICATE,
        HttpHeaderNames.PROXY_AUTHORIZATION,
        HttpHeaderNames.TE,
        HttpHeaderNames.TRAILER,
        HttpHeaderNames.TRANSFER_ENCODING,
        HttpHeaderNames.UPGRADE,
        HttpHeaderNames.CONTENT_LENGTH,
        HttpHeaderNames.EXPECT,
    )

/** Creates empty headers that do not validate names and values, for headers that were validated when received. */
fun newHeaders(): HttpHeaders = DefaultHttpHeadersFactory.headersFactory().withValidation(false).newHeaders()

/** Returns a copy without hop-by-hop headers and Content-Length, which the sender sets anew. */
fun HttpHeaders.endToEnd(): HttpHeaders {
    val copy = newHeaders().add(this)
    getAll(HttpHeaderNames.CONNECTION).forEach { names -> names.split(',').forEach { copy.remove(it.trim()) } }
    DROPPED_HEADERS.forEach { copy.remove(it) }
    return copy
}
