/*
 * One caller's connection: requests are received completely and served one after the other, in the order in which they
 * were received.
 */
package auburnhall.http

import auburnhall.core.CallerLimits
import auburnhall.core.Clock
import io.netty.channel.ChannelHandlerContext
import io.netty.channel.ChannelInboundHandlerAdapter
import io.netty.handler.codec.http.DefaultFullHttpResponse
import io.netty.handler.codec.http.HttpHeaderNames
import io.netty.handler.codec.http.HttpHeaderValues
import io.netty.handler.codec.http.HttpObject
import io.netty.handler.codec.http.HttpResponseStatus
import io.netty.handler.codec.http.HttpVersion
import io.netty.util.ReferenceCountUtil
import java.util.concurrent.TimeUnit

internal class CallerConnection(
    clock: Clock,
    limits: CallerLimits,
    private val handler: RequestHandler,
    private val server: HttpServer,
) : ChannelInboundHandlerAdapter() {
    private val aggregator = RequestAggregator(limits, clock)
    private val queued = ArrayDeque<AggregationResult.Complete>()
    private lateinit var context: ChannelHandlerContext
    private var current: CallerResponseWriter? = null
    private val timeouts = CallerTimeouts(limits, clock)
    private var refused = false

    /** Records when bytes arrive, before they are decoded, and tells the response whether the caller keeps up. */
    val arrivalHandler =
        object : ChannelInboundHandlerAdapter() {
            override fun channelRead(
                ctx: ChannelHandlerContext,
                message: Any,
            ) {
                timeouts.onActivity()
                aggregator.onArrival()
                ctx.fireChannelRead(message)
            }

            override fun channelWritabilityChanged(ctx: ChannelHandlerContext) {
                current?.onWritabilityChange?.invoke()
                ctx.fireChannelWritabilityChanged()
            }
        }

    /** Whether a request is in progress, queued or partly received. */
    val busy: Boolean get() = current != null || aggregator.receiving || queued.isNotEmpty()

    fun close() {
        context.close()
    }

    override fun channelActive(ctx: ChannelHandlerContext) {
        context = ctx
        server.onOpened(this)
        checkTimeouts()
        ctx.fireChannelActive()
    }

    override fun channelInactive(ctx: ChannelHandlerContext) {
        server.onClosed(this)
        queued.clear()
        current?.onConnectionClosed()
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
            if (message is HttpObject && !refused) onAggregated(aggregator.add(message))
        } finally {
            ReferenceCountUtil.release(message)
        }
    }

    private fun onAggregated(result: AggregationResult) {
        when (result) {
            is AggregationResult.Incomplete -> Unit
            is AggregationResult.Refused -> refuse(result.status)
            is AggregationResult.Continue ->
                context.writeAndFlush(DefaultFullHttpResponse(HttpVersion.HTTP_1_1, HttpResponseStatus.CONTINUE))
            is AggregationResult.Complete -> {
                queued.addLast(result)
                if (queued.size >= MAX_PIPELINED_REQUESTS) context.channel().config().isAutoRead = false
                serveNext()
            }
        }
    }

    private fun serveNext() {
        if (current != null) return
        val next = queued.removeFirstOrNull() ?: return
        context.channel().config().isAutoRead = true
        val response = CallerResponseWriter(context, next.keepAlive, server) { onResponseEnded(it) }
        current = response
        handler.onRequest(next.request, response)
    }

    private fun onResponseEnded(keepAlive: Boolean) {
        current = null
        timeouts.onActivity()
        if (keepAlive) serveNext()
    }

    private fun refuse(status: HttpResponseStatus) {
        refused = true
        val response = DefaultFullHttpResponse(HttpVersion.HTTP_1_1, status)
        response.headers().set(HttpHeaderNames.CONTENT_LENGTH, 0)
        response.headers().set(HttpHeaderNames.CONNECTION, HttpHeaderValues.CLOSE)
        if (current != null) {
            context.close()
        } else {
            context.writeAndFlush(response).addListener { context.close() }
        }
    }

    private fun checkTimeouts() {
        if (!context.channel().isActive) return
        val requestTimeoutAtMs = aggregator.timeoutAtMs()
        if (current == null) {
            when (timeouts.expired(requestTimeoutAtMs)) {
                ExpiredTimeout.NONE -> Unit
                ExpiredTimeout.IDLE -> context.close()
                ExpiredTimeout.REQUEST -> refuse(HttpResponseStatus.REQUEST_TIMEOUT)
            }
        }
        val delayMs = timeouts.nextCheckMs(requestTimeoutAtMs)
        context.executor().schedule({ checkTimeouts() }, delayMs, TimeUnit.MILLISECONDS)
    }

    private companion object {
        const val MAX_PIPELINED_REQUESTS = 8
    }
}
