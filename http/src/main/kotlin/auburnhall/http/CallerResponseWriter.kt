/*
 * Writes the answer to one request onto the caller's connection.
 */
package auburnhall.http

import io.netty.buffer.ByteBuf
import io.netty.buffer.Unpooled
import io.netty.channel.ChannelHandlerContext
import io.netty.channel.ChannelOption
import io.netty.handler.codec.http.DefaultFullHttpResponse
import io.netty.handler.codec.http.DefaultHttpContent
import io.netty.handler.codec.http.DefaultHttpResponse
import io.netty.handler.codec.http.EmptyHttpHeaders
import io.netty.handler.codec.http.HttpHeaderNames
import io.netty.handler.codec.http.HttpHeaderValues
import io.netty.handler.codec.http.HttpHeaders
import io.netty.handler.codec.http.HttpResponseStatus
import io.netty.handler.codec.http.HttpVersion
import io.netty.handler.codec.http.LastHttpContent

internal class CallerResponseWriter(
    private val context: ChannelHandlerContext,
    private val keepAlive: Boolean,
    private val server: HttpServer,
    private val onAnswered: (keepAlive: Boolean) -> Unit,
) : ResponseWriter {
    override var onDisconnect: (() -> Unit)? = null
    private var done = false
    private var closes = !keepAlive

    override fun send(
        status: Int,
        headers: HttpHeaders,
        body: ByteArray,
    ) {
        if (done) return
        val content = Unpooled.wrappedBuffer(body)
        val response =
            DefaultFullHttpResponse(
                HttpVersion.HTTP_1_1,
                HttpResponseStatus.valueOf(status),
                content,
                headers,
                EmptyHttpHeaders.INSTANCE,
            )
        headers.set(HttpHeaderNames.CONTENT_LENGTH, body.size)
        markClosing(headers)
        complete(response)
    }

    override fun start(
        status: Int,
        headers: HttpHeaders,
    ) {
        if (done) return
        headers.set(HttpHeaderNames.TRANSFER_ENCODING, HttpHeaderValues.CHUNKED)
        markClosing(headers)
        context.writeAndFlush(DefaultHttpResponse(HttpVersion.HTTP_1_1, HttpResponseStatus.valueOf(status), headers))
    }

    override fun write(content: ByteBuf) {
        if (done) {
            content.release()
        } else {
            context.writeAndFlush(DefaultHttpContent(content))
        }
    }

    override fun finish() {
        if (!done) complete(LastHttpContent.EMPTY_LAST_CONTENT)
    }

    override fun abort() {
        if (done) return
        done = true
        context.channel().config().setOption(ChannelOption.SO_LINGER, 0)
        context.close()
        onAnswered(false)
    }

    /** The caller's connection is gone. */
    fun gone() {
        if (done) return
        done = true
        onDisconnect?.invoke()
    }

    private fun markClosing(headers: HttpHeaders) {
        closes = closes || server.draining
        if (closes) headers.set(HttpHeaderNames.CONNECTION, HttpHeaderValues.CLOSE)
    }

    private fun complete(message: Any) {
        done = true
        val written = context.writeAndFlush(message)
        if (closes) written.addListener { context.close() }
        onAnswered(!closes)
    }
}
