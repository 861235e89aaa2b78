/*
 * HTTP calls to other processes over pooled connections, one call at a time on each connection. Used on one event loop
 * only.
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

/** Makes HTTP/1.1 calls on [loop]. Not thread-safe: use it on the loop only. */
class HttpClient(
    private val loop: EventLoop,
    private val clock: Clock,
) {
    private val idle = HashMap<Address, ArrayDeque<ClientConnection>>()

    /** Called when bytes arrive that belong to no response that was awaited. */
    var onStrayBytes: (StrayBytes) -> Unit = { }

    /** Called when a connection was established. */
    var onConnected: () -> Unit = { }

    /** Number of open connections to all peers, in use or idle. */
    var openConnections = 0
        private set

    /** Number of connections established since the start. */
    var connects = 0L
        private set

    /** Sends [request] to [peer] and reports to [listener]. */
    fun send(
        peer: Address,
        request: OutboundRequest,
        options: CallOptions,
        listener: ResponseListener,
    ): OutboundCall {
        val pooled = if (options.pooled) takeIdle(peer, request, options.maxIdleMs) else null
        return pooled?.start(request, listener) ?: connect(peer, request, options, listener)
    }

    /** Makes a connection to [peer] for later calls within [timeoutMs] milliseconds; a failure has no effect. */
    fun preconnect(
        peer: Address,
        timeoutMs: Int,
    ) {
        val connection = ClientConnection(peer, pooled = true, clock, this)
        open(connection, timeoutMs).addListener { if (it.isSuccess) connection.rest() }
    }

    /** Whether there is an idle connection to [peer]. */
    fun hasIdleConnection(peer: Address): Boolean = idle[peer]?.isNotEmpty() == true

    /** Closes idle connections to [peer], or to all peers if null. */
    fun closeIdleConnections(peer: Address?) {
        val connections = if (peer == null) idle.values.flatten() else idle[peer].orEmpty().toList()
        connections.forEach { it.close() }
    }

    private fun takeIdle(
        peer: Address,
        request: OutboundRequest,
        maxIdleMs: Long,
    ): ClientConnection? {
        val idleToPeer = idle[peer]
        val now = clock.nowMs()
        var candidate = idleToPeer?.removeLastOrNull()
        while (candidate != null && !candidate.usable(request, now, maxIdleMs)) {
            candidate.close()
            candidate = idleToPeer?.removeLastOrNull()
        }
        return candidate
    }

    private fun connect(
        peer: Address,
        request: OutboundRequest,
        options: CallOptions,
        listener: ResponseListener,
    ): OutboundCall {
        val connection = ClientConnection(peer, options.pooled, clock, this)
        val pending = PendingConnect(connection, request, listener)
        pending.startWhenConnected(open(connection, options.connectTimeoutMs))
        return pending
    }

    private fun open(
        connection: ClientConnection,
        timeoutMs: Int,
    ): ChannelFuture =
        Bootstrap()
            .group(loop)
            .channel(NioSocketChannel::class.java)
            .option(ChannelOption.CONNECT_TIMEOUT_MILLIS, timeoutMs)
            .option(ChannelOption.TCP_NODELAY, true)
            .option(ChannelOption.ALLOW_HALF_CLOSURE, true)
            .handler(ConnectionInitializer(connection))
            .connect(connection.peer.host, connection.peer.port)

    internal fun onOpened() {
        connects++
        openConnections++
        onConnected()
    }

    internal fun onClosed(connection: ClientConnection) {
        openConnections--
        idle[connection.peer]?.remove(connection)
        if (idle[connection.peer]?.isEmpty() == true) idle.remove(connection.peer)
    }

    internal fun onIdle(connection: ClientConnection) {
        idle.getOrPut(connection.peer) { ArrayDeque() }.addLast(connection)
    }
}

private class ConnectionInitializer(
    private val connection: ClientConnection,
) : ChannelInitializer<Channel>() {
    // Without this, Netty reads the annotations of the class, which takes long when a process starts.
    override fun isSharable() = true

    override fun initChannel(channel: Channel) {
        connection.handlers.forEach { channel.pipeline().addLast(it) }
    }
}

/** A call whose connection is being established. */
internal class PendingConnect(
    private val connection: ClientConnection,
    private val request: OutboundRequest,
    private val listener: ResponseListener,
) : OutboundCall {
    private var call: OutboundCall? = null
    private var cancelled = false
    private var reading = true

    override val isConnecting: Boolean get() = call == null && !cancelled

    fun startWhenConnected(future: ChannelFuture) {
        future.addListener { onConnected(future) }
    }

    private fun onConnected(future: ChannelFuture) {
        if (cancelled) {
            future.channel().close()
        } else if (future.isSuccess) {
            call = connection.start(request, listener).also { it.setReading(reading) }
        } else {
            listener.onFailure(CallFailure(CallStep.CONNECT, connection.peer, describe(future.cause())))
        }
    }

    override fun setReading(reading: Boolean) {
        this.reading = reading
        call?.setReading(reading)
    }

    override fun cancel() {
        cancelled = true
        call?.cancel()
    }
}

internal fun describe(cause: Throwable?): String =
    cause?.let { "${it.javaClass.simpleName}: ${it.message}" } ?: "unknown"
