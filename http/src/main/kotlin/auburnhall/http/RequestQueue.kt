/*
 * The requests of one caller's connection: they are received completely and served one after the other, in the order in
 * which they were received.
 */
package auburnhall.http

import auburnhall.core.CallerLimits
import auburnhall.core.Clock
import io.netty.buffer.Unpooled
import io.netty.channel.ChannelFuture
import io.netty.channel.ChannelHandlerContext
import io.netty.handler.codec.http.DefaultFullHttpResponse
import io.netty.handler.codec.http.HttpResponseStatus
import io.netty.handler.codec.http.HttpVersion

/** Receives, queues and serves requests. Used on the event loop of the connection; [context] is set before the rest. */
internal class RequestQueue(
    limits: CallerLimits,
    clock: Clock,
    private val handler: RequestHandler,
    private val server: HttpServer,
    private val timeouts: CallerTimeouts,
) : RequestReceiver.Listener {
    /** What was handed over to the connection, and how it ends. */
    val ending = ConnectionEnd(server, timeouts).apply { onWriteError = { end(CloseReason.WRITE_ERROR, it) } }

    var context: ChannelHandlerContext by ending::context

    val aggregator = RequestAggregator(limits, clock, server.requestMemory)
    val receiver = RequestReceiver(aggregator, server.requestMemory, this)

    /** The response to the request in progress; null while there is none. */
    var current: CallerResponseWriter? = null
        private set

    /** Complete requests, and at most one refused request behind them. */
    private val queued = ArrayDeque<AggregationResult>()

    /** Whether a request is in progress, queued or partly received, or a response was not sent completely yet. */
    val busy: Boolean
        get() = current != null || aggregator.receiving || queued.isNotEmpty() || ending.unsentResponses > 0

    /** Number of complete requests without a complete response. */
    val unanswered: Int
        get() = queued.count { it is AggregationResult.Complete } + if (current == null) 0 else 1

    /** Whether the connection ends with the current response, since the process stops and no other request was read. */
    val endsAfterResponse: Boolean get() = server.draining && queued.isEmpty()

    /** The connection was closed. */
    fun onClosed() {
        receiver.close()
        queued.onEach { it.release() }.clear()
        current?.onConnectionClosed()
    }

    override fun onResult(result: AggregationResult) {
        when (result) {
            is AggregationResult.Incomplete, is AggregationResult.NoMemory -> Unit
            is AggregationResult.Refused -> refuse(result.status)
            is AggregationResult.Continue ->
                context.writeAndFlush(DefaultFullHttpResponse(HttpVersion.HTTP_1_1, HttpResponseStatus.CONTINUE))
            is AggregationResult.Complete -> {
                queued.addLast(result)
                serveNext()
            }
        }
    }

    /** Holds the caller back while enough of its requests are queued, or while there is no memory for more. */
    override fun onWaitingChange() {
        context.channel().config().isAutoRead = queued.size < MAX_PIPELINED_REQUESTS && !receiver.waiting
    }

    override fun onMemoryTimeout() {
        val peer = context.channel().remoteAddress().toString()
        server.onMemoryRefusal(MemoryRefusal(peer, server.heldRequestBytes, RequestMemory.MAX_BYTES))
        refuse(HttpResponseStatus.SERVICE_UNAVAILABLE)
    }

    /** Answers the requests before this one, then refuses it; the rest of what the caller sends is not used. */
    fun refuse(status: HttpResponseStatus) {
        if (ending.begun) return
        receiver.close()
        queued.addLast(AggregationResult.Refused(status))
        serveNext()
    }

    /** The current response was handed over as [written]; with [keepAlive], the next request is served. */
    fun onResponseEnded(
        keepAlive: Boolean,
        written: ChannelFuture,
    ) {
        current = null
        timeouts.onActivity()
        if (!keepAlive) return endAfter(written, whileReceiving = false)
        ending.onHandedOver(written)
        serveNext()
    }

    /** Ends the connection behind what was handed over; the requests in progress and behind it get no answer. */
    fun end(
        reason: CloseReason,
        cause: Throwable? = null,
    ) {
        ending.report(reason, cause, 0, unanswered)
        val response = current
        current = null
        response?.onConnectionClosed()
        endAfter(context.writeAndFlush(Unpooled.EMPTY_BUFFER), whileReceiving = true)
    }

    private fun endAfter(
        written: ChannelFuture,
        whileReceiving: Boolean,
    ) {
        receiver.close()
        queued.onEach { it.release() }.clear()
        ending.after(written, whileReceiving)
        onWaitingChange()
    }

    private fun serveNext() {
        if (current == null) queued.removeFirstOrNull()?.let(::serve)
        onWaitingChange()
    }

    private fun serve(next: AggregationResult) {
        if (next is AggregationResult.Refused) {
            endAfter(context.writeAndFlush(refusal(next.status)), whileReceiving = true)
        }
        if (next !is AggregationResult.Complete) return
        val response = CallerResponseWriter(context, next, this)
        current = response
        runCatching { handler.onRequest(next.request, response) }.onFailure {
            ending.reportError(it)
            response.fail()
        }
    }

    private companion object {
        const val MAX_PIPELINED_REQUESTS = 8
    }
}
