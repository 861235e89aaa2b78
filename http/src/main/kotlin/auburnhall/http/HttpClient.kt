/*
 * Calls to other processes over pooled connections, one call at a time on a connection. All of it belongs to one event
 * loop.
 */
package auburnhall.http

import auburnhall.core.Address
import auburnhall.core.Clock
import io.netty.bootstrap.Bootstrap
import io.netty.channel.Channel
import io.netty.channel.ChannelFuture
import io.netty.channel.ChannelInitializer
import io.netty.channel.ChannelOption
import io.netty.channel.EventLoop
import io.netty.channel.socket.nio.NioSocketChannel
import io.netty.handler.codec.http.HttpClientCodec

/** Makes HTTP/1.1 calls on [loop]. Not thread-safe: use it on the loop only. */
class HttpClient(
    private val loop: EventLoop,
    private val clock: Clock,
) {
    private val idle = HashMap<Address, ArrayDeque<ClientConnection>>()

    /** Connections in use or idle, to all peers. */
    var openConnections = 0
        private set

    /** Connections established since the start. */
    var connects = 0L
        private set

    /** Sends [request] to [peer] and reports to [listener]. */
    fun send(
        peer: Address,
        request: OutboundRequest,
        options: CallOptions,
        listener: ResponseListener,
    ): OutboundCall {
        val reusable = takeIdle(peer, options.maxIdleMs)
        if (reusable != null) {
            return reusable.start(request, listener)
        }
        return connect(peer, request, options, listener)
    }

    /** Whether a connection to [peer] rests. */
    fun hasIdleConnection(peer: Address): Boolean = idle[peer]?.isNotEmpty() == true

    /** Closes idle connections to [peer]; with null, to all peers. */
    fun closeIdleConnections(peer: Address?) {
        val doomed = if (peer == null) idle.values.flatten() else idle[peer].orEmpty().toList()
        doomed.forEach { it.close() }
    }

    private fun takeIdle(
        peer: Address,
        maxIdleMs: Long,
    ): ClientConnection? {
        val resting = idle[peer]
        val now = clock.nowMs()
        var newest = resting?.removeLastOrNull()
        while (newest != null && !newest.usable(now, maxIdleMs)) {
            newest.close()
            newest = resting?.removeLastOrNull()
        }
        return newest
    }

    private fun connect(
        peer: Address,
        request: OutboundRequest,
        options: CallOptions,
        listener: ResponseListener,
    ): OutboundCall {
        val connection = ClientConnection(peer, clock, this)
        val pending = PendingConnect(connection, request, listener)
        val future =
            Bootstrap()
                .group(loop)
                .channel(NioSocketChannel::class.java)
                .option(ChannelOption.CONNECT_TIMEOUT_MILLIS, options.connectTimeoutMs)
                .option(ChannelOption.TCP_NODELAY, true)
                .handler(initializer(connection))
                .connect(peer.host, peer.port)
        pending.await(future)
        return pending
    }

    private fun initializer(connection: ClientConnection) =
        object : ChannelInitializer<Channel>() {
            override fun initChannel(channel: Channel) {
                channel.pipeline().addLast(HttpClientCodec(MAX_LINE_BYTES, MAX_HEAD_BYTES, MAX_CHUNK_BYTES), connection)
            }
        }

    internal fun onOpened() {
        connects++
        openConnections++
    }

    internal fun onClosed(connection: ClientConnection) {
        openConnections--
        idle[connection.peer]?.remove(connection)
        if (idle[connection.peer]?.isEmpty() == true) idle.remove(connection.peer)
    }

    internal fun onIdle(connection: ClientConnection) {
        idle.getOrPut(connection.peer) { ArrayDeque() }.addLast(connection)
    }

    private companion object {
        const val MAX_LINE_BYTES = 8_192
        const val MAX_HEAD_BYTES = 65_536
        const val MAX_CHUNK_BYTES = 65_536
    }
}

/** A call whose connection is being established. */
internal class PendingConnect(
    private val connection: ClientConnection,
    private val request: OutboundRequest,
    private val listener: ResponseListener,
) : OutboundCall {
    private var started: OutboundCall? = null
    private var cancelled = false

    fun await(future: ChannelFuture) {
        future.addListener { onConnected(future) }
    }

    private fun onConnected(future: ChannelFuture) {
        if (cancelled) {
            future.channel().close()
        } else if (future.isSuccess) {
            started = connection.start(request, listener)
        } else {
            listener.onFailure(CallFailure(CallStep.CONNECT, connection.peer, describe(future.cause())))
        }
    }

    override fun cancel() {
        cancelled = true
        started?.cancel()
    }
}

internal fun describe(cause: Throwable?): String =
    cause?.let { "${it.javaClass.simpleName}: ${it.message}" } ?: "unknown"
