/*
 * Messages between the processes: load reports, and changes in the status of replicas, such as a suspected failure, so
 * that all processes route around a failing replica and not only the one that noticed.
 */
package auburnhall.entry

import auburnhall.core.Clock
import auburnhall.core.EventListener
import auburnhall.core.Replica
import auburnhall.core.Settings
import auburnhall.http.LoopScheduler
import auburnhall.routing.LoadBook
import auburnhall.routing.SilenceMonitor
import auburnhall.routing.TargetHealth
import auburnhall.routing.TargetKey
import auburnhall.routing.TargetTable
import io.netty.channel.ChannelFuture
import io.netty.channel.EventLoop

/** The routing state that messages update. */
class NewsSubjects(
    val load: LoadBook,
    val health: TargetHealth,
    val silence: SilenceMonitor,
    val targets: () -> TargetTable,
    /** Called for replicas that this or another process suspects to have failed. */
    val onSuspect: (Replica) -> Unit,
)

/** Sends messages to the other processes and applies those received. Traffic thread only. */
class PeerNews(
    settings: Settings,
    loop: EventLoop,
    clock: Clock,
    events: EventListener,
    private val routing: NewsSubjects,
) {
    private val process = settings.processName
    private val scheduler = LoopScheduler(loop)
    private val channel = PeerChannel(loop, settings.peerPort, events, ::onMessage)
    private val loads = LoadNews(settings, clock, routing.load, channel)
    private var peers: Set<String> = emptySet()

    /** Number of processes, this one included. */
    val processes: Int get() = peers.size + 1

    /** Binds at [host] and begins to send load reports. */
    fun start(host: String): ChannelFuture {
        val bound = channel.start(host)
        tick()
        return bound
    }

    /** Replaces the other processes by [known]. */
    fun onPeers(known: Map<String, PeerProcess>) {
        peers = known.keys
        channel.onPeers(known)
        loads.onPeers(known)
    }

    /** Reports the status of the replica of [key] to all processes, this one included. */
    fun reportStatus(
        key: TargetKey,
        finding: Finding,
    ) {
        channel.send(PeerMessage(process, replica = key.text, finding = finding), peers)
        onStatus(key, finding)
    }

    private fun tick() {
        loads.tick()
        scheduler.after(loads.periodMs) { tick() }
    }

    private fun onMessage(message: PeerMessage) {
        val replica = message.replica
        if (replica == null) loads.onMessage(message) else onStatus(TargetKey(replica), message.finding)
    }

    private fun onStatus(
        key: TargetKey,
        finding: Finding,
    ) {
        val replica = routing.targets().find(key)?.replica ?: return
        when (finding) {
            Finding.BREAKING -> routing.health.markLost(key)
            Finding.SLOW -> routing.health.slow.mark(key)
            Finding.SUSPECT -> {
                routing.health.suspect(key)
                routing.onSuspect(replica)
            }
            Finding.SOUND -> {
                routing.health.clear(key)
                routing.silence.onHeard(key)
            }
        }
    }
}
