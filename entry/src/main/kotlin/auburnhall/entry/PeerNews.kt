/*
 * What the processes tell each other: how much work each has at which target, and replicas that fell silent.
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
    loop: EventLoop,
    clock: Clock,
    events: EventListener,
    private val subjects: NewsSubjects,
) {
    private val process = settings.processName
    private val scheduler = LoopScheduler(loop)
    private val channel = PeerChannel(loop, settings.peerPort, events, ::onMessage)
    private val loads = LoadNews(settings, clock, subjects.load, channel)
    private var peers: Set<String> = emptySet()

    /** Number of processes, this one included. */
    val processes: Int get() = peers.size + 1

    /** Binds at [host] and begins to tell the load. */
    fun start(host: String): ChannelFuture {
        val bound = channel.start(host)
        tell()
        return bound
    }

    /** The other processes are [known]. */
    fun onPeers(known: Map<String, PeerProcess>) {
        peers = known.keys
        channel.onPeers(known)
        loads.onPeers(known)
    }

    /** Tells all processes, this one included, what was found of the replica of [key]. */
    fun tell(
        key: TargetKey,
        finding: Finding,
    ) {
        channel.send(PeerMessage(process, replica = key.text, finding = finding), peers)
        onFinding(key, finding)
    }

    private fun tell() {
        loads.tick()
        scheduler.after(loads.periodMs) { tell() }
    }

    private fun onMessage(message: PeerMessage) {
        val replica = message.replica
        if (replica == null) loads.onMessage(message) else onFinding(TargetKey(replica), message.finding)
    }

    private fun onFinding(
        key: TargetKey,
        finding: Finding,
    ) {
        val replica = subjects.targets().find(key)?.replica ?: return
        when (finding) {
            Finding.BREAKING -> subjects.health.markLost(key)
            Finding.SLOW -> subjects.health.slow.mark(key)
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
}
