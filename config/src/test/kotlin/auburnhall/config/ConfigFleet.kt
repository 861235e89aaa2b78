/*
 * Several entry processes' configuration and membership on one clock and one store, with faults between them, and a
 * checker that watches what each of them would serve under.
 */
package auburnhall.config

import auburnhall.core.ControlLoop
import auburnhall.core.DataCentreId
import auburnhall.core.InstanceId
import auburnhall.core.ProcessId
import auburnhall.core.Step
import auburnhall.core.StepError
import auburnhall.membership.Heartbeat
import auburnhall.membership.HeartbeatResult
import auburnhall.membership.Member
import auburnhall.membership.MembershipController
import auburnhall.membership.MembershipDependencies
import auburnhall.membership.MembershipPeers
import auburnhall.store.ControlFeed
import auburnhall.store.Keys
import auburnhall.store.ReadResult
import auburnhall.test.FakeClock
import auburnhall.test.FakeControlLoop
import auburnhall.test.FakeKeyValueStore
import auburnhall.test.StoreCall
import auburnhall.test.StoreFault
import kotlin.random.Random

/** Entry processes on one virtual clock. */
internal class ConfigFleet(
    private val random: Random,
) {
    val clock = FakeClock()
    val store = FakeKeyValueStore(clock)
    val nodes = ArrayList<Node>()
    val history = ConfigHistory(this)
    var storeDown = false
    private val observer = store.client()

    /** Called after every step of the clock. */
    var onStep: () -> Unit = {}

    /** Starts another process. */
    fun start(name: String = "p${nodes.size}"): Node = Node(name).also { nodes += it }

    /** Lets [millis] pass. */
    fun advance(millis: Long) {
        repeat((millis / STEP_MILLIS).toInt()) { step() }
    }

    /** Removes the registration of [node], which is dead, as others do once its instance is listed no more. */
    fun unregister(node: Node) {
        val key = Keys.member(node.self.process)
        val entry = (observer.get(key) as ReadResult.Success).entries.firstOrNull() ?: return
        observer.compareAndDelete(key, entry.revision)
    }

    private fun step() {
        clock.advance(STEP_MILLIS)
        nodes.toList().filter { !it.isPaused && !it.isDead }.forEach { it.loop.runDue() }
        history.check()
        onStep()
    }

    /** One entry process. */
    inner class Node(
        name: String,
    ) : MembershipPeers,
        ConfigPeers {
        val self =
            Member(ProcessId(name), InstanceId("i-$name"), DataCentreId("dc"), "$name:1", "$name:2")
        val loop = FakeControlLoop(clock)
        var isPaused = false
        var isDead = false
        var isApplying = false
        var isCutFromStore = false
        var isCutFromPeers = false

        /** Processes reach only those on the same side of a partition. */
        var side = 0

        /** Most milliseconds that a call takes each way. */
        var delayMillis = 0L
        var storeFault: (StoreCall) -> StoreFault = { StoreFault.NONE }

        val client = store.client { if (storeDown || isCutFromStore) StoreFault.LOST_CALL else storeFault(it) }
        private val delayed = DelayedCalls(loop) { random.nextLong(delayMillis + 1) }
        private val pause =
            Pause { millis ->
                advance(millis)
                while (isPaused) advance(STEP_MILLIS)
            }
        val membership =
            MembershipController(self, MembershipDependencies(clock, delayed, client, this, Random(random.nextLong())))
        val config =
            ConfigController(
                ConfigDependencies(clock, delayed, client, this, membership, Random(random.nextLong())),
            )
        val operators = OperatorService(clock, client, config, pause)

        init {
            membership.start(config)
            config.start()
            ControlFeed(client, delayed, Random(random.nextLong()), listOf(membership, config)).start()
        }

        /** Version that a request arriving now would be served under; null when it would be refused. */
        fun served(): Long? = (config.current() as? ConfigView.InForce)?.index?.configuration?.version

        override fun heartbeat(
            peer: Member,
            heartbeat: Heartbeat,
        ): HeartbeatResult {
            val node = reach(peer) ?: return HeartbeatResult.Error(unreachable(peer))
            return HeartbeatResult.Success(node.membership.onHeartbeat(heartbeat))
        }

        override fun fetch(peer: Member): FetchResult =
            reach(peer)?.config?.document()?.let { FetchResult.Success(it) } ?: FetchResult.Error(unreachable(peer))

        private fun reach(peer: Member): Node? =
            nodes.firstOrNull { it.self.peerAddress == peer.peerAddress }?.takeIf {
                !it.isPaused && !it.isDead && !it.isCutFromPeers && !isCutFromPeers && it.side == side
            }

        private fun unreachable(peer: Member) = StepError(Step.READ_CONFIGURATION, peer.peerAddress, "no answer")
    }

    private class DelayedCalls(
        private val loop: ControlLoop,
        private val delay: () -> Long,
    ) : ControlLoop by loop {
        override fun <T> call(
            io: () -> T,
            onResult: (T) -> Unit,
        ) = loop.after(delay()) {
            val result = io()
            loop.after(delay()) { onResult(result) }
        }
    }

    companion object {
        const val STEP_MILLIS = 50L
    }
}
