/*
 * Decodes the responses on a connection to another process.
 */
package auburnhall.http

import io.netty.buffer.ByteBuf
import io.netty.handler.codec.http.HttpDecoderConfig
import io.netty.handler.codec.http.HttpMessage
import io.netty.handler.codec.http.HttpResponse
import io.netty.handler.codec.http.HttpResponseDecoder

/** Decoder of responses; [isToHead] says whether a response is that to a HEAD request, and has no body. */
internal class ResponseDecoder(
    config: HttpDecoderConfig,
    private val isToHead: (HttpResponse) -> Boolean,
) : HttpResponseDecoder(config) {
    // Without this, Netty reads the annotations of the class, which takes long when a process starts.
    override fun isSharable() = false

    /** Bytes that were received and are not yet part of a decoded message. */
    val undecoded: ByteBuf get() = internalBuffer()

    override fun isContentAlwaysEmpty(message: HttpMessage): Boolean =
        super.isContentAlwaysEmpty(message) || (message is HttpResponse && isToHead(message))
}
