/*
 * Writes the response to one request to the caller's connection.
 */
package auburnhall.http

import io.netty.buffer.ByteBuf
import io.netty.buffer.Unpooled
import io.netty.channel.ChannelFuture
import io.netty.channel.ChannelHandlerContext
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
    private val request: AggregationResult.Complete,
    private val queue: RequestQueue,
) : ResponseWriter {
    override var onDisconnect: (() -> Unit)? = null
    override var onWritabilityChange: (() -> Unit)? = null
    override val writable: Boolean get() = context.channel().isWritable
    private var ended = false
    private var started = false
    private var closeAfterwards = !request.keepAlive

    override fun send(
        status: Int,
        headers: HttpHeaders,
        body: ByteArray,
        onReleased: () -> Unit,
    ) {
        if (ended) {
            onReleased()
            return
        }
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
        setConnectionHeader(headers)
        complete(response).addListener { onReleased() }
    }

    override fun start(
        status: Int,
        headers: HttpHeaders,
    ) {
        if (ended) return
        started = true
        headers.set(HttpHeaderNames.TRANSFER_ENCODING, HttpHeaderValues.CHUNKED)
        setConnectionHeader(headers)
        queue.ending.write(DefaultHttpResponse(HttpVersion.HTTP_1_1, HttpResponseStatus.valueOf(status), headers))
    }

    override fun write(content: ByteBuf) {
        if (ended) {
            content.release()
        } else {
            queue.ending.write(DefaultHttpContent(content))
        }
    }

    override fun finish() {
        if (!ended) complete(LastHttpContent.EMPTY_LAST_CONTENT)
    }

    override fun abort() {
        if (ended) return
        end()
        queue.end(CloseReason.RESPONSE_ABORTED)
    }

    /** Ends the response because of an error in the handling of its request, which is given up. */
    fun fail() {
        if (ended) return
        val giveUp = onDisconnect
        if (started) abort() else send(INTERNAL_ERROR, newHeaders(), ByteArray(0)) { }
        giveUp?.invoke()
    }

    /** Ends the response because the caller's connection was closed. */
    fun onConnectionClosed() {
        if (ended) return
        end()
        onDisconnect?.invoke()
    }

    private fun end() {
        ended = true
        request.memory.release()
    }

    private fun setConnectionHeader(headers: HttpHeaders) {
        closeAfterwards = closeAfterwards || queue.endsAfterResponse
        if (!closeAfterwards) return
        headers.set(HttpHeaderNames.CONNECTION, HttpHeaderValues.CLOSE)
        queue.receiver.close()
    }

    private fun complete(message: Any): ChannelFuture {
        end()
        val written = queue.ending.write(message)
        queue.onResponseEnded(!closeAfterwards, written)
        return written
    }

    private companion object {
        const val INTERNAL_ERROR = 500
    }
}
