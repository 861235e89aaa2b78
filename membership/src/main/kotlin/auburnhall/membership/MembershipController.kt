/*
 * Knows the other entry processes. Registrations are read from the control feed; liveness comes from heartbeats to a
 * few peers a second, which pass on whom else they have heard. Nothing of it costs the store a call at rest.
 */
package auburnhall.membership

import auburnhall.core.Clock
import auburnhall.core.ControlLoop
import auburnhall.core.InstanceKind
import auburnhall.core.ListedInstance
import auburnhall.core.ProcessId
import auburnhall.core.every
import auburnhall.store.ControlFeedListener
import auburnhall.store.KeyValueStore
import kotlin.random.Random

/** What a [MembershipController] works with. */
data class MembershipDependencies(
    val clock: Clock,
    val loop: ControlLoop,
    val store: KeyValueStore,
    val peers: MembershipPeers,
    val random: Random,
)

/**
 * Registers this process and keeps the [MembershipView]. A listener of the control feed. All functions are called on
 * the control thread, but for [view] and [onHeartbeat].
 */
interface MembershipController :
    Membership,
    ControlFeedListener {
    /** Registers this process and begins to send heartbeats; [copies] takes part in them. */
    fun start(copies: CopyExchange = CopyExchange.None)

    /** The platform's list of instances, as often as it is read. Leads to removals of processes that are gone. */
    fun onInstanceList(instances: List<ListedInstance>)

    /** Answers a peer's [heartbeat]; called on any thread. */
    fun onHeartbeat(heartbeat: Heartbeat): Heartbeat

    /** Sends a heartbeat to each of [processes] that is registered; the answers go to the [CopyExchange]. */
    fun probe(processes: Collection<ProcessId>)

    /** Tells the peers from now on that this process takes no new work. */
    fun drain()

    /** Deletes the registration when nothing is served any more; [onDone] is told whether the store confirmed it. */
    fun stop(onDone: (Boolean) -> Unit)
}

/** Returns the [MembershipController] of the process [self], whose servers must be bound to its addresses already. */
fun MembershipController(
    self: Member,
    dependencies: MembershipDependencies,
): MembershipController = RealMembershipController(self, dependencies, MemberRegistry(self, dependencies))

internal class RealMembershipController(
    private val self: Member,
    private val on: MembershipDependencies,
    private val registry: MemberRegistry,
) : MembershipController,
    ControlFeedListener by registry {
    private val liveness = LivenessTable(on.random)
    private val removals = GoneInstances(on.clock)
    private val turns = ProbeTurns(on.random)
    private var copies: CopyExchange = CopyExchange.None

    @Volatile private var draining = false

    @Volatile private var current = MembershipView(self, listOf(self), emptySet())

    @Volatile private var passOn = emptyList<HeardProcess>()

    override fun view(): MembershipView = current

    override fun start(copies: CopyExchange) {
        this.copies = copies
        registry.start { publish() }
        on.loop.every(HEARTBEAT_MILLIS) {
            probe(turns.next(registry.others()))
            publish()
        }
    }

    override fun onInstanceList(instances: List<ListedInstance>) {
        val listed = instances.filter { it.kind == InstanceKind.ENTRY }.map { it.id }.toSet()
        val gone = removals.gone(registry.others(), listed, self.instance)
        if (gone.isEmpty() || current.ranked(REMOVAL_KEY).first() != self) return
        gone.forEach { registry.remove(it.process) }
    }

    override fun onHeartbeat(heartbeat: Heartbeat): Heartbeat {
        on.loop.execute {
            liveness.heard(heartbeat, on.clock.monotonicMillis())
            registry.member(heartbeat.process)?.let { copies.onRequest(it, heartbeat.copy) }
        }
        return ownHeartbeat()
    }

    override fun probe(processes: Collection<ProcessId>) =
        processes.filter { it != self.process }.mapNotNull { registry.member(it) }.forEach { peer ->
            val sentAt = on.clock.monotonicMillis()
            on.loop.call({ on.peers.heartbeat(peer, ownHeartbeat()) }) { onReply(peer, it, sentAt) }
        }

    override fun drain() {
        draining = true
    }

    override fun stop(onDone: (Boolean) -> Unit) = registry.registration.stop(onDone)

    private fun ownHeartbeat() = Heartbeat(self.process, draining, copies.state(), passOn)

    private fun onReply(
        peer: Member,
        result: HeartbeatResult,
        sentAt: Long,
    ) {
        if (result !is HeartbeatResult.Success || result.reply.process != peer.process) return
        liveness.heard(result.reply, sentAt)
        copies.onReply(peer, result.reply.copy, sentAt)
    }

    private fun publish() {
        val now = on.clock.monotonicMillis()
        val members = (registry.others() + self).sortedBy { it.process }
        liveness.retain(members.map { it.process }.toSet())
        liveness.heard(self.process, now, draining)
        passOn = liveness.toPassOn(now)
        current = MembershipView(self, members, liveness.answering(now))
    }

    private companion object {
        const val HEARTBEAT_MILLIS = 1_000L
        const val REMOVAL_KEY = "remove members"
    }
}
