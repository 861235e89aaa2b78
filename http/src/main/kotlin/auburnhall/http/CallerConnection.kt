/*
 * One caller's connection: requests are collected whole and served one after the other, in the order in which they
 * came.
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
    private val clock: Clock,
    private val limits: CallerLimits,
    private val handler: RequestHandler,
    private val server: HttpServer,
) : ChannelInboundHandlerAdapter() {
    private val collector = RequestAggregator(limits, clock)
    private val waiting = ArrayDeque<AggregationResult.Whole>()
    private lateinit var context: ChannelHandlerContext
    private var current: CallerResponseWriter? = null
    private var lastActivity = clock.nowMs()
    private var refusing = false

    /** Notes when bytes arrive, before they are decoded. */
    val arrivals =
        object : ChannelInboundHandlerAdapter() {
            override fun channelRead(
                ctx: ChannelHandlerContext,
                message: Any,
            ) {
                lastActivity = clock.nowMs()
                collector.onArrival()
                ctx.fireChannelRead(message)
            }
        }

    /** Whether a request is in progress or partly received. */
    val busy: Boolean get() = current != null || collector.receiving || waiting.isNotEmpty()

    fun close() {
        context.close()
    }

    override fun channelActive(ctx: ChannelHandlerContext) {
        context = ctx
        server.onOpened(this)
        check()
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
            if (message is HttpObject && !refusing) onCollected(collector.add(message))
        } finally {
            ReferenceCountUtil.release(message)
        }
    }

    private fun onCollected(collected: AggregationResult) {
        when (collected) {
            is AggregationResult.More -> Unit
            is AggregationResult.Refused -> refuse(collected.status)
            is AggregationResult.Continue ->
                context.writeAndFlush(DefaultFullHttpResponse(HttpVersion.HTTP_1_1, HttpResponseStatus.CONTINUE))
            is AggregationResult.Whole -> {
                waiting.addLast(collected)
                if (waiting.size >= MAX_PIPELINED) context.channel().config().isAutoRead = false
                serveNext()
            }
        }
    }

    private fun serveNext() {
        if (current != null) return
        val next = waiting.removeFirstOrNull() ?: return
        context.channel().config().isAutoRead = true
        val response = CallerResponseWriter(context, next.keepAlive, server) { onAnswered(it) }
        current = response
        handler.onRequest(next.request, response)
    }

    private fun onAnswered(keepAlive: Boolean) {
        current = null
        lastActivity = clock.nowMs()
        if (keepAlive) serveNext()
    }

    private fun refuse(status: HttpResponseStatus) {
        refusing = true
        val response = DefaultFullHttpResponse(HttpVersion.HTTP_1_1, status)
        response.headers().set(HttpHeaderNames.CONTENT_LENGTH, 0)
        response.headers().set(HttpHeaderNames.CONNECTION, HttpHeaderValues.CLOSE)
        if (current != null) {
            context.close()
        } else {
            context.writeAndFlush(response).addListener { context.close() }
        }
    }

    private fun check() {
        if (!context.channel().isActive) return
        val rests = clock.nowMs() - lastActivity
        when {
            current != null -> Unit
            collector.isLate() -> refuse(HttpResponseStatus.REQUEST_TIMEOUT)
            collector.isIdle() && rests > limits.idleTimeoutMs + IDLE_SLACK_MS -> context.close()
        }
        context.executor().schedule({ check() }, CHECK_PERIOD_MS, TimeUnit.MILLISECONDS)
    }

    private companion object {
        const val MAX_PIPELINED = 8
        const val CHECK_PERIOD_MS = 1_000L

        /** A caller may send until the limit has passed at its end, which the way to here adds to. */
        const val IDLE_SLACK_MS = 1_000L
    }
}
