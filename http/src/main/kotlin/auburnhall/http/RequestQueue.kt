/*
 * The requests of one caller's connection: they are received completely and served one after the other, in the order in
 * which they were received.
 */
package auburnhall.http

import auburnhall.core.CallerLimits
import auburnhall.core.Clock
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
    lateinit var context: ChannelHandlerContext

    val aggregator = RequestAggregator(limits, clock, server.requestMemory)
    val receiver = RequestReceiver(aggregator, server.requestMemory, this)

    /** The response to the request in progress; null while there is none. */
    var current: CallerResponseWriter? = null
        private set

    /** Complete requests, and at most one refused request behind them. */
    private val queued = ArrayDeque<AggregationResult>()

    /** Whether a refusal was sent, after which the connection ends. */
    var refusing = false
        private set

    /** Number of responses that were handed over to the channel and are not sent completely. */
    var unsentResponses = 0
        private set

    /** Whether a request is in progress, queued or partly received, or a response was not sent completely yet. */
    val busy: Boolean
        get() = current != null || aggregator.receiving || queued.isNotEmpty() || refusing || unsentResponses > 0

    /** Whether the connection ends with the current response, since the process stops and no other request was read. */
    val endsAfterResponse: Boolean get() = server.draining && queued.isEmpty()

    /** The connection was closed. */
    fun onClosed() {
        receiver.close()
        queued.forEach { it.release() }
        queued.clear()
        refusing = false
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
        context.channel().config().isAutoRead = refusing || (queued.size < MAX_PIPELINED_REQUESTS && !receiver.waiting)
    }

    override fun onMemoryTimeout() {
        val peer = context.channel().remoteAddress().toString()
        server.onMemoryRefusal(MemoryRefusal(peer, server.heldRequestBytes, RequestMemory.MAX_BYTES))
        refuse(HttpResponseStatus.SERVICE_UNAVAILABLE)
    }

    /** Answers the requests before this one, then refuses it; the rest of what the caller sends is not used. */
    fun refuse(status: HttpResponseStatus) {
        receiver.close()
        queued.addLast(AggregationResult.Refused(status))
        serveNext()
    }

    /**
     * The current response has ended and was handed over as [written], null if it was aborted; the next request is
     * served if the connection goes on with [keepAlive].
     */
    fun onResponseEnded(
        keepAlive: Boolean,
        written: ChannelFuture?,
    ) {
        current = null
        timeouts.onActivity()
        if (written != null) awaitSent(written, keepAlive)
        if (keepAlive) serveNext()
    }

    /** Closes the connection because of [reason] and [cause], and reports what is lost by it. */
    fun close(
        reason: CloseReason,
        cause: Throwable? = null,
    ) {
        val channel = context.channel()
        val unsent = channel.unsafe().outboundBuffer()?.totalPendingWriteBytes() ?: 0
        val unanswered = queued.count { it is AggregationResult.Complete } + if (current == null) 0 else 1
        if (unsent > 0 || unanswered > 0) {
            val peer = channel.remoteAddress()?.toString().orEmpty()
            server.onCut(CutConnection(peer, reason, unsent, unanswered, cause?.let(::describe)))
        }
        context.close()
    }

    private fun awaitSent(
        written: ChannelFuture,
        keepAlive: Boolean,
    ) {
        unsentResponses++
        written.addListener {
            unsentResponses--
            timeouts.onActivity()
            if (!keepAlive) context.close()
        }
    }

    private fun serveNext() {
        if (current == null) queued.removeFirstOrNull()?.let(::serve)
        onWaitingChange()
    }

    private fun serve(next: AggregationResult) {
        if (next is AggregationResult.Refused) {
            refusing = true
            context.sendRefusal(next.status)
        }
        if (next !is AggregationResult.Complete) return
        val response = CallerResponseWriter(context, next, this)
        current = response
        handler.onRequest(next.request, response)
    }

    private companion object {
        const val MAX_PIPELINED_REQUESTS = 8
    }
}
