/*
 * Whether a message says where its body ends. A body in a transfer coding that is not known cannot be read, and where
 * it ends cannot be known either; its bytes must not be taken for another message.
 */
package auburnhall.http

import io.netty.handler.codec.http.HttpHeaderNames
import io.netty.handler.codec.http.HttpHeaderValues
import io.netty.handler.codec.http.HttpMessage
import io.netty.handler.codec.http.HttpVersion

/** Whether the body has a transfer coding other than one `chunked`, or one that its version of HTTP lacks. */
internal fun HttpMessage.hasUnknownTransferCoding(): Boolean {
    val codings = headers().getAll(HttpHeaderNames.TRANSFER_ENCODING)
    val chunked = codings.size == 1 && HttpHeaderValues.CHUNKED.contentEqualsIgnoreCase(codings.single().trim())
    return codings.isNotEmpty() && (!chunked || protocolVersion() < HttpVersion.HTTP_1_1)
}
