/*
 * Accepts callers' HTTP/1.1 connections.
 */
package auburnhall.http

import auburnhall.core.Address
import auburnhall.core.CallerLimits
import auburnhall.core.Clock
import io.netty.bootstrap.ServerBootstrap
import io.netty.channel.Channel
import io.netty.channel.ChannelFuture
import io.netty.channel.ChannelInitializer
import io.netty.channel.ChannelOption
import io.netty.channel.EventLoop
import io.netty.channel.socket.nio.NioServerSocketChannel
import io.netty.handler.codec.http.HttpMessage
import io.netty.handler.codec.http.HttpRequestDecoder
import io.netty.handler.codec.http.HttpResponseEncoder
import java.net.InetSocketAddress

/** Serves HTTP/1.1 on [loop]. */
class HttpServer(
    private val loop: EventLoop,
    private val clock: Clock,
    private val limits: () -> CallerLimits,
    private val handler: RequestHandler,
) {
    private val connections = HashSet<CallerConnection>()
    private var listener: Channel? = null

    /** The memory that the bodies of requests take. */
    internal var requestMemory = RequestMemory(EventLoopScheduler(loop))
        private set

    /** Called when a request is refused because the bodies of all requests take too much memory. */
    var onMemoryRefusal: (MemoryRefusal) -> Unit = { }

    /** Called when a connection is closed with bytes unsent or requests unanswered. */
    var onCut: (CutConnection) -> Unit = { }

    /** Called when the handler of a request fails with an unexpected error, which ends only this request. */
    var onHandlerError: (HandlerError) -> Unit = { }

    /** Whether responses ask callers to close their connections; set when the process stops. */
    @Volatile
    var draining = false

    /** Number of connections on which a request is partly received, queued or in progress. Read on the loop. */
    val inProgress: Int get() = connections.count { it.busy }

    /** Number of open connections from callers. Read on the loop. */
    val openConnections: Int get() = connections.size

    /** Bytes of memory that the bodies of requests take. Read on the loop. */
    val heldRequestBytes: Int get() = requestMemory.heldBytes

    /** Lets the bodies of requests share the memory of [other], a server on the same loop; call before [bind]. */
    fun shareMemory(other: HttpServer) {
        requestMemory = other.requestMemory
    }

    /** Listens at [address]; the future fails if the port is in use. */
    fun bind(address: Address): ChannelFuture {
        val future =
            ServerBootstrap()
                .group(loop, loop)
                .channel(NioServerSocketChannel::class.java)
                .option(ChannelOption.SO_BACKLOG, ACCEPT_BACKLOG_CONNECTIONS)
                .option(ChannelOption.SO_REUSEADDR, true)
                .childOption(ChannelOption.TCP_NODELAY, true)
                .childHandler(initializer())
                .bind(address.host, address.port)
        listener = future.channel()
        return future
    }

    /** The port on which it listens, once the future of [bind] has succeeded. */
    val port: Int get() = (listener?.localAddress() as InetSocketAddress).port

    /** Stops accepting connections. */
    fun stopListening() {
        listener?.close()
    }

    /** Ends connections on which no request is in progress. Call on the loop. */
    fun closeIdleConnections() = connections.filter { !it.busy }.forEach { it.end() }

    private fun initializer() =
        object : ChannelInitializer<Channel>() {
            // Without this, Netty reads the annotations of the class, which takes long when a process starts.
            override fun isSharable() = true

            override fun initChannel(channel: Channel) {
                val connection = CallerConnection(clock, limits(), handler, this@HttpServer)
                val decoder = StrictRequestDecoder(limits())
                channel.pipeline().addLast(connection.arrivalHandler, decoder, HttpResponseEncoder(), connection)
            }
        }

    internal fun onOpened(connection: CallerConnection) = connections.add(connection)

    internal fun onClosed(connection: CallerConnection) = connections.remove(connection)

    private companion object {
        const val ACCEPT_BACKLOG_CONNECTIONS = 1_024
    }
}

/** A request of [peer] was refused while the bodies of all requests took [heldBytes] of at most [limitBytes] bytes. */
data class MemoryRefusal(
    val peer: String,
    val heldBytes: Int,
    val limitBytes: Int,
)

/**
 * Refuses requests with both Transfer-Encoding and Content-Length: two parsers could disagree on where such a request
 * ends, which allows request smuggling.
 */
private class StrictRequestDecoder(
    limits: CallerLimits,
) : HttpRequestDecoder(boundedDecoderConfig(limits.maxHeaderBytes, limits.maxHeaderBytes)) {
    // Without this, Netty reads the annotations of the class, which takes long when a process starts.
    override fun isSharable() = false

    override fun handleTransferEncodingChunkedWithContentLength(message: HttpMessage): Unit =
        throw IllegalArgumentException("request has both Transfer-Encoding and Content-Length")
}
