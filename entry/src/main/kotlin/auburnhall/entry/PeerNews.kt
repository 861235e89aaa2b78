/*
 * What the processes tell each other by datagrams: how many requests each has in progress at which target, and
 * replicas that fell silent. A datagram that is lost is made up for by the next.
 */
package auburnhall.entry

import auburnhall.core.Replica
import auburnhall.core.Settings
import auburnhall.http.LoopScheduler
import auburnhall.routing.LoadBook
import auburnhall.routing.SilenceMonitor
import auburnhall.routing.TargetHealth
import auburnhall.routing.TargetKey
import auburnhall.routing.TargetLoad
import auburnhall.routing.TargetTable
import io.netty.bootstrap.Bootstrap
import io.netty.buffer.Unpooled
import io.netty.channel.Channel
import io.netty.channel.ChannelFuture
import io.netty.channel.ChannelHandlerContext
import io.netty.channel.EventLoop
import io.netty.channel.SimpleChannelInboundHandler
import io.netty.channel.socket.DatagramPacket
import io.netty.channel.socket.nio.NioDatagramChannel
import kotlinx.serialization.ExperimentalSerializationApi
import kotlinx.serialization.Serializable
import kotlinx.serialization.SerializationException
import kotlinx.serialization.protobuf.ProtoBuf
import kotlinx.serialization.protobuf.ProtoNumber
import java.net.InetSocketAddress

private const val PROCESS = 1
private const val TARGETS = 2
private const val REQUESTS = 3
private const val REPLICA = 4
private const val FINDING = 5
private const val UNREAD_TOKENS = 6

/** One datagram. */
@OptIn(ExperimentalSerializationApi::class)
@Serializable
data class PeerMessage(
    @ProtoNumber(PROCESS) val process: String,
    /** Targets by hash, each with the work there at the same index of [requests] and [unreadTokens]. */
    @ProtoNumber(TARGETS) val targets: List<Int> = emptyList(),
    @ProtoNumber(REQUESTS) val requests: List<Int> = emptyList(),
    @ProtoNumber(UNREAD_TOKENS) val unreadTokens: List<Int> = emptyList(),
    /** The replica that [finding] is about; null in a report of load. */
    @ProtoNumber(REPLICA) val replica: String? = null,
    @ProtoNumber(FINDING) val finding: Finding = Finding.SUSPECT,
)

/** What is told of a replica. */
enum class Finding {
    /** It fell silent. */
    SUSPECT,

    /** All its members answered. */
    SOUND,

    /** It is taken apart. */
    BREAKING,
}

/** What news is about on the traffic thread. */
class NewsSubjects(
    val load: LoadBook,
    val health: TargetHealth,
    val silence: SilenceMonitor,
    val targets: () -> TargetTable,
    /** Told of replicas that fell silent, here or elsewhere. */
    val onSuspect: (Replica) -> Unit,
)

/** Sends and receives news. Traffic thread only. */
class PeerNews(
    settings: Settings,
    private val loop: EventLoop,
    private val subjects: NewsSubjects,
) {
    private val process = settings.processName
    private val port = settings.peerPort
    private val scheduler = LoopScheduler(loop)
    private var peers: List<InetSocketAddress> = emptyList()
    private var channel: Channel? = null
    private var lastSent: Map<TargetKey, TargetLoad> = emptyMap()
    private var unchanged = 0

    /** Number of processes, this one included. */
    val processes: Int get() = peers.size + 1

    /** Binds at [host] and begins to tell the load. */
    fun start(host: String): ChannelFuture {
        val bound =
            Bootstrap()
                .group(loop)
                .channel(NioDatagramChannel::class.java)
                .handler(Receiver())
                .bind(host, port)
        channel = bound.channel()
        tell()
        return bound
    }

    /** The hosts of the other processes. */
    fun onPeers(hosts: Collection<String>) {
        peers = hosts.map { InetSocketAddress(it, port) }
    }

    /** Tells all processes, this one included, what was found of the replica of [key]. */
    fun tell(
        key: TargetKey,
        finding: Finding,
    ) {
        send(PeerMessage(process, replica = key.text, finding = finding))
        onFinding(key, finding)
    }

    private fun tell() {
        val now = HashMap(subjects.load.own())
        unchanged = if (now == lastSent) unchanged + 1 else 0
        if (unchanged == 0 || (now.isNotEmpty() && unchanged % REPEAT_EVERY == 0)) {
            lastSent = now
            val loads = now.values
            send(
                PeerMessage(
                    process,
                    now.keys.map { it.text.hashCode() },
                    loads.map { it.requests },
                    loads.map { it.unreadTokens },
                ),
            )
        }
        scheduler.after(periodMs()) { tell() }
    }

    /** Grows with the number of processes, so that news takes a fixed part of the traffic. */
    private fun periodMs() = maxOf(MIN_PERIOD_MS, peers.size * PERIOD_MS_PER_PEER)

    @OptIn(ExperimentalSerializationApi::class)
    private fun send(message: PeerMessage) {
        val bytes = ProtoBuf.encodeToByteArray(PeerMessage.serializer(), message)
        val open = channel ?: return
        peers.forEach { open.write(DatagramPacket(Unpooled.wrappedBuffer(bytes), it)) }
        open.flush()
    }

    private fun onMessage(message: PeerMessage) {
        val replica = message.replica
        if (replica == null) {
            subjects.load.onTold(message.process, loadsOf(message))
        } else {
            onFinding(TargetKey(replica), message.finding)
        }
    }

    private fun loadsOf(message: PeerMessage): Map<Int, TargetLoad> =
        message.targets.indices.associate { index ->
            val requests = message.requests.getOrElse(index) { 0 }
            message.targets[index] to TargetLoad(requests, message.unreadTokens.getOrElse(index) { 0 })
        }

    private fun onFinding(
        key: TargetKey,
        finding: Finding,
    ) {
        val replica = subjects.targets().find(key)?.replica ?: return
        when (finding) {
            Finding.BREAKING -> subjects.health.markLost(key)
            Finding.SUSPECT -> {
                subjects.health.suspect(key)
                subjects.onSuspect(replica)
            }
            Finding.SOUND -> {
                subjects.health.clear(key)
                subjects.silence.onHeard(key)
            }
        }
    }

    private inner class Receiver : SimpleChannelInboundHandler<DatagramPacket>() {
        @OptIn(ExperimentalSerializationApi::class)
        override fun channelRead0(
            ctx: ChannelHandlerContext,
            packet: DatagramPacket,
        ) {
            val bytes = ByteArray(packet.content().readableBytes())
            packet.content().readBytes(bytes)
            val message =
                try {
                    ProtoBuf.decodeFromByteArray(PeerMessage.serializer(), bytes)
                } catch (_: SerializationException) {
                    return
                }
            onMessage(message)
        }
    }

    private companion object {
        const val MIN_PERIOD_MS = 60L

        /** Keeps a process with some 200 bytes of news below 8 KB/s whatever the number of processes. */
        const val PERIOD_MS_PER_PEER = 3L
        const val REPEAT_EVERY = 8
    }
}
