/*
 * One caller's connection: passes what is received to its queue of requests, and closes it when the caller sends or
 * takes nothing for too long.
 */
package auburnhall.http

import auburnhall.core.CallerLimits
import auburnhall.core.Clock
import io.netty.channel.ChannelHandlerContext
import io.netty.handler.codec.http.HttpObject
import io.netty.handler.codec.http.HttpResponseStatus
import io.netty.util.ReferenceCountUtil
import java.io.IOException
import java.util.concurrent.TimeUnit

internal class CallerConnection(
    clock: Clock,
    limits: CallerLimits,
    handler: RequestHandler,
    private val server: HttpServer,
) : InboundHandler() {
    private val timeouts = CallerTimeouts(limits, clock)
    private val queue = RequestQueue(limits, clock, handler, server, timeouts)
    private lateinit var context: ChannelHandlerContext
    private var sendPosition = 0L

    /** Records when bytes arrive, before they are decoded, and tells the response whether the caller keeps up. */
    val arrivalHandler =
        object : InboundHandler() {
            override fun channelRead(
                ctx: ChannelHandlerContext,
                message: Any,
            ) {
                if (!queue.ending.begun) onArrival()
                ctx.fireChannelRead(message)
            }

            override fun channelWritabilityChanged(ctx: ChannelHandlerContext) {
                queue.current?.onWritabilityChange?.invoke()
                ctx.fireChannelWritabilityChanged()
            }
        }

    /** See [RequestQueue.busy]. */
    val busy: Boolean get() = queue.busy

    /** Ends the connection, on which nothing is in progress. */
    fun end() {
        if (queue.ending.begun) return
        queue.receiver.close()
        queue.ending.endIdle()
    }

    override fun channelActive(ctx: ChannelHandlerContext) {
        context = ctx
        queue.context = ctx
        server.onOpened(this)
        checkTimeouts()
        ctx.fireChannelActive()
    }

    override fun channelInactive(ctx: ChannelHandlerContext) {
        server.onClosed(this)
        queue.onClosed()
    }

    override fun exceptionCaught(
        ctx: ChannelHandlerContext,
        cause: Throwable,
    ) {
        if (cause is IOException) return queue.ending.giveUp(CloseReason.ERROR, cause, queue.unanswered)
        queue.ending.reportError(cause)
        queue.current?.fail() ?: queue.refuse(HttpResponseStatus.INTERNAL_SERVER_ERROR)
    }

    override fun channelRead(
        ctx: ChannelHandlerContext,
        message: Any,
    ) {
        runCatching { if (message is HttpObject) queue.receiver.onPart(message) }.onFailure {
            queue.ending.reportError(it)
            queue.refuse(HttpResponseStatus.INTERNAL_SERVER_ERROR)
        }
        ReferenceCountUtil.release(message)
    }

    private fun onArrival() {
        timeouts.onActivity()
        queue.aggregator.onArrival()
    }

    /** Counts as activity that the caller has taken more of a response since the last check. */
    private fun noteSending() {
        val buffer = context.channel().unsafe().outboundBuffer() ?: return
        val position = buffer.currentProgress() - buffer.totalPendingWriteBytes()
        if (position != sendPosition) timeouts.onActivity()
        sendPosition = position
    }

    /** Nothing has arrived or been taken for the idle timeout, and no request is in progress. */
    private fun onIdle() = if (queue.busy) queue.ending.giveUp(CloseReason.IDLE, null, queue.unanswered) else end()

    private fun checkTimeouts() {
        if (!context.channel().isActive) return
        if (queue.ending.unsentResponses > 0) noteSending()
        val requestTimeoutAtMs = if (queue.ending.begun) null else queue.aggregator.timeoutAtMs()
        if (queue.current == null) {
            when (timeouts.expired(requestTimeoutAtMs)) {
                ExpiredTimeout.NONE -> Unit
                ExpiredTimeout.IDLE -> onIdle()
                ExpiredTimeout.REQUEST -> queue.refuse(HttpResponseStatus.REQUEST_TIMEOUT)
            }
        }
        val delayMs = timeouts.nextCheckMs(requestTimeoutAtMs)
        context.executor().schedule({ checkTimeouts() }, delayMs, TimeUnit.MILLISECONDS)
    }
}
