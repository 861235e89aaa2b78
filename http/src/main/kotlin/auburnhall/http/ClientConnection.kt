/*
 * One connection to another process. It is closed when bytes arrive while no call is in progress, or are left over when
 * one has ended, since they would be taken for the beginning of the next response. A response with neither a length nor
 * chunks is complete only if the peer has ended the connection in an orderly way: a connection that ends for any other
 * reason says nothing about it. A late response to an earlier call is recognised by its correlation header and dropped;
 * one without this header cannot be attributed. What is dropped, late and interim responses, is bounded. A response
 * whose body or trailers contain the head of another one is not whole.
 */
package auburnhall.http

import auburnhall.core.Address
import auburnhall.core.Clock
import io.netty.buffer.ByteBuf
import io.netty.channel.ChannelHandler
import io.netty.channel.ChannelHandlerContext
import io.netty.channel.socket.ChannelInputShutdownEvent
import io.netty.handler.codec.http.HttpContent
import io.netty.handler.codec.http.HttpMethod
import io.netty.handler.codec.http.HttpObject
import io.netty.handler.codec.http.HttpRequestEncoder
import io.netty.handler.codec.http.HttpResponse
import io.netty.handler.codec.http.HttpUtil
import io.netty.handler.codec.http.LastHttpContent
import io.netty.util.ReferenceCountUtil
import java.io.IOException

internal class ClientConnection(
    val peer: Address,
    private val pooled: Boolean,
    private val clock: Clock,
    private val client: HttpClient,
) {
    private lateinit var context: ChannelHandlerContext
    private var call: ActiveCall? = null
    private var idleSinceMs = 0L
    private var idleLimitMs = Long.MAX_VALUE
    private var error: Throwable? = null

    /** Number of calls that were begun on this connection. */
    private var calls = 0

    /** Whether the peer has ended its side of the connection in an orderly way. */
    private var endedByPeer = false
    private val carried = CarriedRequests()
    private val decoder = ResponseDecoder(boundedDecoderConfig(MAX_LINE_BYTES, MAX_HEAD_BYTES), ::isToHead)

    /** The handlers of the channel in their order. */
    val handlers: List<ChannelHandler> = listOf(InputHandler(), decoder, HttpRequestEncoder(), MessageHandler())

    /**
     * Whether [request] can be sent: the connection is open, was idle for at most [maxIdleMs] and a share of the peer's
     * idle timeout, and has not carried an earlier attempt of the request, whose late response would look like that to
     * this one.
     */
    fun usable(
        request: OutboundRequest,
        now: Long,
        maxIdleMs: Long,
    ): Boolean {
        val fresh = now - idleSinceMs <= minOf(maxIdleMs, idleLimitMs)
        return context.channel().isActive && fresh && request !in carried
    }

    fun close() {
        context.close()
    }

    /** Keeps the connection for later calls. */
    fun rest() {
        idleSinceMs = clock.nowMs()
        client.onIdle(this)
    }

    /** Sends [request]; no other call may be in progress. */
    fun start(
        request: OutboundRequest,
        listener: ResponseListener,
    ): OutboundCall {
        val started = ActiveCall(request, listener)
        call = started
        calls++
        carried.add(request)
        val sending = context.writeAndFlush(request.toMessage())
        sending.addListener { if (it.isSuccess) started.written = true else error = it.cause() }
        return started
    }

    private fun isToHead(response: HttpResponse): Boolean = call?.let { it.isHead && it.owns(response) } == true

    private fun failUnfinished(unfinished: ActiveCall) {
        val cause = error
        val text = cause?.let(::describe) ?: "connection closed before the response was complete"
        fail(unfinished, text, closedByPeer = endedByPeer || cause is IOException)
    }

    private fun fail(
        failed: ActiveCall,
        cause: String,
        closedByPeer: Boolean = false,
    ) {
        if (call !== failed) return
        call = null
        failed.dropped.stop()
        context.close()
        val failure = CallFailure(failed.step, peer, cause, closedByPeer, calls - 1, failed.dropped.heads)
        failed.listener.onFailure(failure)
    }

    private fun reportStray(kind: StrayKind) = client.onStrayBytes(StrayBytes(peer, kind, calls))

    private fun complete(finished: ActiveCall) {
        call = null
        val surplus = decoder.undecoded.isReadable
        if (surplus) reportStray(StrayKind.BEHIND_RESPONSE)
        val reusable = pooled && finished.keepAlive && finished.written && error == null && !surplus
        if (reusable) {
            context.channel().config().isAutoRead = true
            rest()
        } else {
            context.close()
        }
        finished.listener.onEnd()
    }

    /** Comes before the decoder, which ends a response without framing when it sees that the peer has ended. */
    private inner class InputHandler : InboundHandler() {
        override fun channelRead(
            ctx: ChannelHandlerContext,
            message: Any,
        ) {
            if (call != null) {
                ctx.fireChannelRead(message)
            } else {
                ReferenceCountUtil.release(message)
                if (ctx.channel().isActive) reportStray(StrayKind.IDLE)
                ctx.close()
            }
        }

        override fun userEventTriggered(
            ctx: ChannelHandlerContext,
            event: Any,
        ) {
            if (event === ChannelInputShutdownEvent.INSTANCE) endedByPeer = error == null
            ctx.fireUserEventTriggered(event)
        }
    }

    private inner class MessageHandler : InboundHandler() {
        override fun handlerAdded(ctx: ChannelHandlerContext) {
            context = ctx
        }

        override fun channelActive(ctx: ChannelHandlerContext) {
            client.onOpened()
        }

        override fun channelRead(
            ctx: ChannelHandlerContext,
            message: Any,
        ) {
            try {
                val active = call
                if (active == null || message !is HttpObject) {
                    ctx.close()
                } else if (message.decoderResult().isFailure) {
                    fail(active, describe(message.decoderResult().cause()))
                } else {
                    active.onMessage(message)
                }
            } finally {
                ReferenceCountUtil.release(message)
            }
        }

        override fun exceptionCaught(
            ctx: ChannelHandlerContext,
            cause: Throwable,
        ) {
            error = cause
            call?.let(::failUnfinished)
            ctx.close()
        }

        override fun userEventTriggered(
            ctx: ChannelHandlerContext,
            event: Any,
        ) {
            if (event !== ChannelInputShutdownEvent.INSTANCE) return
            call?.let(::failUnfinished)
            ctx.close()
        }

        override fun channelInactive(ctx: ChannelHandlerContext) {
            client.onClosed(this@ClientConnection)
            call?.let(::failUnfinished)
        }
    }

    private inner class ActiveCall(
        request: OutboundRequest,
        val listener: ResponseListener,
    ) : OutboundCall {
        private val correlation = request.correlation
        val isHead = request.method == HttpMethod.HEAD
        var step = CallStep.AWAIT_RESPONSE
        var keepAlive = false
        private var framing = Framing.LENGTH
        private var otherHead: HeadSearch? = null
        var written = false
        val dropped = DroppedResponses(correlation, context.executor()) { fail(this, it) }

        override fun setReading(reading: Boolean) {
            if (call === this) context.channel().config().isAutoRead = reading
        }

        override fun cancel() {
            if (call === this) {
                call = null
                dropped.stop()
                context.close()
            }
        }

        fun onMessage(message: HttpObject) {
            if (message is HttpResponse) onHead(message)
            if (message is HttpContent && call === this) onContent(message)
        }

        /** Whether [response] is that to this call, as far as its correlation header says. */
        fun owns(response: HttpResponse): Boolean =
            correlation == null || response.headers().get(correlation.header) == correlation.value

        private fun onHead(response: HttpResponse) {
            val interim = response.status().code() < FIRST_FINAL_STATUS
            val fault = response.fault()
            when {
                fault != null -> fail(this, fault)
                interim -> dropped.onInterim()
                owns(response) -> accept(response)
                correlation?.header !in response.headers() -> fail(this, "response without ${correlation?.header}")
                else -> {
                    reportStray(StrayKind.LATE_RESPONSE)
                    dropped.onLate(response.framing())
                }
            }
        }

        private fun accept(response: HttpResponse) {
            step = CallStep.READ_BODY
            framing = if (isHead) Framing.LENGTH else response.framing()
            otherHead = correlation?.let { response.searchForOther(it) }
            keepAlive = HttpUtil.isKeepAlive(response) && framing != Framing.CLOSE
            idleLimitMs = response.idleLimitMs()
            listener.onHead(response.status().code(), response.headers(), framing)
        }

        private fun onContent(content: HttpContent) {
            when {
                content is LastHttpContent && content.holdsHead(correlation) -> fail(this, HEAD_IN_TRAILERS)
                dropped.active -> dropped.onContent(content)
                otherHead?.isIn(content.content()) == true -> onOtherHead(content.content())
                else -> onOwnContent(content)
            }
        }

        private fun onOtherHead(content: ByteBuf) {
            val own = otherHead?.bytesBefore ?: 0
            if (own > 0) listener.onContent(content.readSlice(own))
            fail(this, HEAD_IN_BODY)
        }

        private fun onOwnContent(content: HttpContent) {
            if (content.content().isReadable) listener.onContent(content.content())
            if (content is LastHttpContent && call === this) onLastContent()
        }

        private fun onLastContent() {
            when {
                framing == Framing.CLOSE && !endedByPeer -> failUnfinished(this)
                otherHead?.endsIn(decoder.undecoded) == true -> fail(this, HEAD_IN_BODY)
                else -> complete(this)
            }
        }
    }

    private companion object {
        const val HEAD_IN_BODY = "a head within the body of a response"
        const val HEAD_IN_TRAILERS = "a head within the trailers of a response"
        const val MAX_LINE_BYTES = 8_192
        const val MAX_HEAD_BYTES = 16_384
        const val FIRST_FINAL_STATUS = 200
    }
}
