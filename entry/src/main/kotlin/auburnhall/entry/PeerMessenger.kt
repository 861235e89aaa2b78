/*
 * What the processes tell each other: how much work each has at which target, and replicas that fell silent.
 */
package auburnhall.entry

import auburnhall.core.Clock
import auburnhall.core.EventListener
import auburnhall.core.Replica
import auburnhall.core.Settings
import auburnhall.http.EventLoopScheduler
import auburnhall.routing.LoadTracker
import auburnhall.routing.ReplicaFailureDetector
import auburnhall.routing.TargetHealth
import auburnhall.routing.TargetKey
import auburnhall.routing.TargetTable
import io.netty.channel.ChannelFuture
import io.netty.channel.EventLoop

/** What news is about on the traffic thread. */
class RoutingState(
    val load: LoadTracker,
    val health: TargetHealth,
    val failureDetector: ReplicaFailureDetector,
    val targets: () -> TargetTable,
    /** Told of replicas that fell silent, here or elsewhere. */
    val onSuspect: (Replica) -> Unit,
)

/** Sends and receives news. Traffic thread only. */
class PeerMessenger(
    settings: Settings,
    loop: EventLoop,
    clock: Clock,
    events: EventListener,
    private val subjects: RoutingState,
) {
    private val process = settings.processName
    private val scheduler = EventLoopScheduler(loop)
    private val channel = PeerChannel(loop, settings.peerPort, events, ::onMessage)
    private val loads = LoadExchange(settings, clock, subjects.load, channel)
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
        replicaStatus: ReplicaStatus,
    ) {
        channel.send(PeerMessage(process, replica = key.text, replicaStatus = replicaStatus), peers)
        onFinding(key, replicaStatus)
    }

    private fun tell() {
        loads.tick()
        scheduler.after(loads.periodMs) { tell() }
    }

    private fun onMessage(message: PeerMessage) {
        val replica = message.replica
        if (replica == null) loads.onMessage(message) else onFinding(TargetKey(replica), message.replicaStatus)
    }

    private fun onFinding(
        key: TargetKey,
        replicaStatus: ReplicaStatus,
    ) {
        val replica = subjects.targets().find(key)?.replica ?: return
        when (replicaStatus) {
            ReplicaStatus.TEARDOWN -> subjects.health.markLost(key)
            ReplicaStatus.SLOW -> subjects.health.slow.mark(key)
            ReplicaStatus.SUSPECT -> {
                subjects.health.markSuspect(key)
                subjects.onSuspect(replica)
            }
            ReplicaStatus.HEALTHY -> {
                subjects.health.clearSuspicion(key)
                subjects.failureDetector.onActivity(key)
            }
        }
    }
}
