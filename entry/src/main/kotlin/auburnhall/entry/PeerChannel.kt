/*
 * Sends and receives UDP datagrams between the processes. Delivery is not guaranteed: senders repeat their reports, so
 * that a lost datagram is replaced by the next.
 */
package auburnhall.entry

import auburnhall.core.EventListener
import auburnhall.core.log
import io.netty.bootstrap.Bootstrap
import io.netty.buffer.Unpooled
import io.netty.channel.Channel
import io.netty.channel.ChannelFuture
import io.netty.channel.ChannelHandlerContext
import io.netty.channel.EventLoop
import io.netty.channel.SimpleChannelInboundHandler
import io.netty.channel.socket.DatagramPacket
import io.netty.channel.socket.nio.NioDatagramChannel
import kotlinx.serialization.SerializationException
import java.net.InetSocketAddress

/** Another entry process. */
data class PeerProcess(
    val host: String,
    val dataCentre: String,
) {
    /** The value of its registration in the store. */
    fun encode(): ByteArray = "$host $dataCentre".toByteArray()

    companion object {
        /** Decodes the output of [encode]. */
        fun decode(value: ByteArray): PeerProcess =
            String(value).let { PeerProcess(it.substringBefore(' '), it.substringAfter(' ', "")) }
    }
}

/** Sends messages to processes by name. */
fun interface PeerSender {
    /** Sends [message] to each process of [names] whose address is known. */
    fun send(
        message: PeerMessage,
        names: Collection<String>,
    )
}

/** Sends and receives datagrams at [port], which all processes share. Traffic thread only. */
class PeerChannel(
    private val loop: EventLoop,
    private val port: Int,
    private val events: EventListener,
    private val onMessage: (PeerMessage) -> Unit,
) : PeerSender {
    private var addresses: Map<String, InetSocketAddress> = emptyMap()
    private var channel: Channel? = null
    private var unreadable = 0L

    /** Binds at [host]; messages are sent only after that. */
    fun start(host: String): ChannelFuture {
        val bound =
            Bootstrap()
                .group(loop)
                .channel(NioDatagramChannel::class.java)
                .handler(Receiver())
                .bind(host, port)
        channel = bound.channel()
        return bound
    }

    /** Replaces the other processes by [peers]. */
    fun onPeers(peers: Map<String, PeerProcess>) {
        addresses = peers.mapValues { InetSocketAddress(it.value.host, port) }
    }

    override fun send(
        message: PeerMessage,
        names: Collection<String>,
    ) {
        val open = channel ?: return
        val bytes = message.encode()
        names.mapNotNull { addresses[it] }.forEach { open.write(DatagramPacket(Unpooled.wrappedBuffer(bytes), it)) }
        open.flush()
    }

    private inner class Receiver : SimpleChannelInboundHandler<DatagramPacket>() {
        // Without this, Netty reads the annotations of the class, which takes long when a process starts.
        override fun isSharable() = false

        override fun channelRead0(
            ctx: ChannelHandlerContext,
            packet: DatagramPacket,
        ) {
            val bytes = ByteArray(packet.content().readableBytes())
            packet.content().readBytes(bytes)
            try {
                onMessage(PeerMessage.decode(bytes))
            } catch (e: SerializationException) {
                onUnreadable(packet.sender(), e)
            }
        }
    }

    private fun onUnreadable(
        sender: InetSocketAddress,
        cause: SerializationException,
    ) {
        unreadable++
        val known = addresses.values.any { it.address == sender.address }
        events.log("peer.unreadable", "sender" to sender, "known" to known, "count" to unreadable, "cause" to cause)
    }
}
