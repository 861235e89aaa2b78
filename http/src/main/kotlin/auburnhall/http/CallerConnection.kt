/*
 * One caller's connection: requests are collected whole and served one after the other, in the order in which they came.
 */
package auburnhall.http

import auburnhall.core.CallerLimits
import auburnhall.core.Clock
import io.netty.channel.ChannelHandlerContext
import io.netty.channel.ChannelInboundHandlerAdapter
import io.netty.handler.codec.http.DefaultFullHttpResponse
import io.netty.handler.codec.http.HttpContent
import io.netty.handler.codec.http.HttpHeaderNames
import io.netty.handler.codec.http.HttpHeaderValues
import io.netty.handler.codec.http.HttpObject
import io.netty.handler.codec.http.HttpRequest
import io.netty.handler.codec.http.HttpResponseStatus
import io.netty.handler.codec.http.HttpUtil
import io.netty.handler.codec.http.HttpVersion
import io.netty.handler.codec.http.LastHttpContent
import io.netty.handler.codec.http.TooLongHttpHeaderException
import io.netty.util.ReferenceCountUtil
import java.io.ByteArrayOutputStream
import java.util.concurrent.TimeUnit

internal class CallerConnection(
    private val clock: Clock,
    private val limits: CallerLimits,
    private val handler: RequestHandler,
    private val server: HttpServer,
) : ChannelInboundHandlerAdapter() {
    private lateinit var context: ChannelHandlerContext
    private val waiting = ArrayDeque<PendingRequest>()
    private var head: HttpRequest? = null
    private val body = ByteArrayOutputStream()
    private var current: CallerReply? = null
    private var lastActivity = 0L
    private var headSince = 0L
    private var refusing = false

    /** Notes when bytes arrive, before they are decoded. */
    val arrivals = object : ChannelInboundHandlerAdapter() {
        override fun channelRead(
            ctx: ChannelHandlerContext,
            message: Any,
        ) {
            lastActivity = clock.nowMs()
            if (headSince == 0L && head == null) headSince = lastActivity
            ctx.fireChannelRead(message)
        }
    }

    /** Whether a request is in progress or partly received. */
    val busy: Boolean get() = current != null || head != null || waiting.isNotEmpty()

    fun close() {
        context.close()
    }

    override fun channelActive(ctx: ChannelHandlerContext) {
        context = ctx
        lastActivity = clock.nowMs()
        server.onOpened(this)
        scheduleCheck()
        ctx.fireChannelActive()
    }

    override fun channelInactive(ctx: ChannelHandlerContext) {
        server.onClosed(this)
        waiting.clear()
        current?.gone()
    }

    override fun exceptionCaught(
        ctx: ChannelHandlerContext,
        cause: Throwable,
    ) {
        ctx.close()
    }

    override fun channelRead(
        ctx: ChannelHandlerContext,
        message: Any,
    ) {
        try {
            if (message is HttpObject && !refusing) onObject(message)
        } finally {
            ReferenceCountUtil.release(message)
        }
    }

    private fun onObject(message: HttpObject) {
        if (message.decoderResult().isFailure) {
            refuse(statusOf(message.decoderResult().cause()))
            return
        }
        if (message is HttpRequest) onHead(message)
        if (message is HttpContent && head != null) onBody(message)
    }

    private fun onHead(request: HttpRequest) {
        headSince = 0L
        head = request
        body.reset()
        val stated = HttpUtil.getContentLength(request, 0L)
        if (stated > limits.maxBodyBytes) {
            refuse(HttpResponseStatus.REQUEST_ENTITY_TOO_LARGE)
        } else if (HttpUtil.is100ContinueExpected(request)) {
            context.writeAndFlush(DefaultFullHttpResponse(HttpVersion.HTTP_1_1, HttpResponseStatus.CONTINUE))
        }
    }

    private fun onBody(part: HttpContent) {
        val size = part.content().readableBytes()
        if (body.size() + size > limits.maxBodyBytes) {
            refuse(HttpResponseStatus.REQUEST_ENTITY_TOO_LARGE)
            return
        }
        part.content().readBytes(body, size)
        if (part is LastHttpContent) onWhole()
    }

    private fun onWhole() {
        val request = checkNotNull(head)
        head = null
        val inbound = InboundRequest(request.method(), request.uri(), request.headers(), body.toByteArray(), clock.nowMs())
        waiting.addLast(PendingRequest(inbound, HttpUtil.isKeepAlive(request)))
        if (waiting.size >= MAX_PIPELINED) context.channel().config().isAutoRead = false
        serveNext()
    }

    private fun serveNext() {
        if (current != null) return
        val next = waiting.removeFirstOrNull() ?: return
        context.channel().config().isAutoRead = true
        val reply = CallerReply(context, next.keepAlive, server) { onAnswered(it) }
        current = reply
        handler.onRequest(next.request, reply)
    }

    private fun onAnswered(keepAlive: Boolean) {
        current = null
        lastActivity = clock.nowMs()
        if (keepAlive) serveNext()
    }

    private fun refuse(status: HttpResponseStatus) {
        refusing = true
        head = null
        val response = DefaultFullHttpResponse(HttpVersion.HTTP_1_1, status)
        response.headers().set(HttpHeaderNames.CONTENT_LENGTH, 0)
        response.headers().set(HttpHeaderNames.CONNECTION, HttpHeaderValues.CLOSE)
        if (current != null) {
            context.close()
        } else {
            context.writeAndFlush(response).addListener { context.close() }
        }
    }

    private fun scheduleCheck() {
        context.executor().schedule({ check() }, CHECK_PERIOD_MS, TimeUnit.MILLISECONDS)
    }

    private fun check() {
        if (!context.channel().isActive) return
        val now = clock.nowMs()
        val rests = now - lastActivity
        when {
            current != null -> Unit
            headSince != 0L && now - headSince > limits.headerTimeoutMs -> refuse(HttpResponseStatus.REQUEST_TIMEOUT)
            head != null && rests > limits.idleTimeoutMs -> refuse(HttpResponseStatus.REQUEST_TIMEOUT)
            head == null && headSince == 0L && rests > limits.idleTimeoutMs + IDLE_SLACK_MS -> context.close()
        }
        scheduleCheck()
    }

    private class PendingRequest(
        val request: InboundRequest,
        val keepAlive: Boolean,
    )

    private companion object {
        const val MAX_PIPELINED = 8
        const val CHECK_PERIOD_MS = 1_000L

        /** A caller may send until the limit has passed at its end, which the way to here adds to. */
        const val IDLE_SLACK_MS = 1_000L

        fun statusOf(cause: Throwable): HttpResponseStatus =
            if (cause is TooLongHttpHeaderException) {
                HttpResponseStatus.REQUEST_HEADER_FIELDS_TOO_LARGE
            } else {
                HttpResponseStatus.BAD_REQUEST
            }
    }
}
