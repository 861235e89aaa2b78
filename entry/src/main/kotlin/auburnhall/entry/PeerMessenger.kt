/*
 * Messages between the processes: load reports, reports about parts of prompts, limits of workers, evacuations, and
 * changes in the status of replicas, such as a suspected failure, so that all processes route around a failing replica
 * and not only the one that noticed.
 */
package auburnhall.entry

import auburnhall.core.EventListener
import auburnhall.core.Replica
import auburnhall.core.Settings
import auburnhall.gateway.GatewayGuards
import auburnhall.routing.LoadTracker
import auburnhall.routing.ReplicaFailureDetector
import auburnhall.routing.TargetHealth
import auburnhall.routing.TargetKey
import auburnhall.routing.TargetTable
import io.netty.channel.ChannelFuture
import io.netty.channel.EventLoop

/** The routing state that messages update. */
class RoutingState(
    val load: LoadTracker,
    val health: TargetHealth,
    val failureDetector: ReplicaFailureDetector,
    val targets: () -> TargetTable,
    /** Called for replicas that this or another process suspects to have failed. */
    val onSuspect: (Replica) -> Unit,
    /** Called when the controller tears a replica down. */
    val onLost: () -> Unit,
)

/** Sends messages to the other processes and applies those received. Traffic thread only. */
class PeerMessenger(
    settings: Settings,
    loop: EventLoop,
    runtime: PeerRuntime,
    events: EventListener,
    private val routing: RoutingState,
    guards: GatewayGuards,
) {
    private val process = settings.processName
    private val channel = PeerChannel(loop, settings.peerPort, events, ::onMessage)
    private val loads = LoadExchange(settings, runtime, routing.load, channel)

    /** Exchanges reports about parts of prompts. */
    val parts = PartExchange(process, runtime, guards.parts, channel)
    private val limits = LimitExchange(process, runtime, guards.limits, channel, events)

    /** Exchanges the evacuations of data centres. */
    val evacuations = EvacuationExchange(process, runtime, channel, events)
    private var peers: Set<String> = emptySet()

    /** Number of processes, this one included. */
    val processes: Int get() = peers.size + 1

    /** Position of this process among all processes by name, from 0 to 1. */
    val phase: Double get() = peers.count { it < process }.toDouble() / processes

    /** Binds at [host] and begins to send load reports. */
    fun start(host: String): ChannelFuture {
        val bound = channel.start(host)
        loads.start()
        parts.start()
        limits.start()
        evacuations.start()
        return bound
    }

    /** Replaces the other processes by [known]. */
    fun onPeers(known: Map<String, PeerProcess>) {
        peers = known.keys
        channel.onPeers(known)
        loads.onPeers(known)
        parts.onPeers(peers.toSet())
        limits.onPeers(peers.toSet())
        evacuations.onPeers(peers.toSet())
    }

    /** Reports the status of the replica of [key] to all processes, this one included. */
    fun reportStatus(
        key: TargetKey,
        replicaStatus: ReplicaStatus,
    ) {
        channel.send(PeerMessage(process, replica = key.text, replicaStatus = replicaStatus), peers)
        onStatus(key, replicaStatus)
    }

    private fun onMessage(message: PeerMessage) {
        val partReport = message.partReport
        val replica = message.replica
        when {
            partReport != null -> parts.onReport(message.process, partReport)
            message.limits.isNotEmpty() -> limits.onReport(message.limits)
            message.evacuations.isNotEmpty() -> evacuations.onReport(message.process, message.evacuations)
            message.coldness.isNotEmpty() -> limits.onColdness(message.coldness)
            replica != null -> onStatus(TargetKey(replica), message.replicaStatus)
            else -> loads.onMessage(message)
        }
    }

    private fun onStatus(
        key: TargetKey,
        replicaStatus: ReplicaStatus,
    ) {
        val replica = routing.targets().find(key)?.replica ?: return
        when (replicaStatus) {
            ReplicaStatus.TEARDOWN -> {
                routing.health.markLost(key)
                routing.onLost()
            }
            ReplicaStatus.CLOSING -> routing.health.closing.mark(key)
            ReplicaStatus.SLOW -> routing.health.slow.mark(key)
            ReplicaStatus.SUSPECT -> {
                routing.health.markSuspect(key)
                routing.onSuspect(replica)
            }
            ReplicaStatus.HEALTHY -> {
                routing.health.clearSuspicion(key)
                routing.failureDetector.onActivity(key)
            }
        }
    }
}
