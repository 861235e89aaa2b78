/*
 * The control thread: keeps the view of the store, this process's registration, and control of the replicas.
 */
package auburnhall.entry

import auburnhall.core.Address
import auburnhall.core.Clock
import auburnhall.core.EventListener
import auburnhall.core.KeyValueStore
import auburnhall.core.Scheduler
import auburnhall.core.Settings
import auburnhall.core.StoreItem
import auburnhall.platform.WorkerClient
import auburnhall.replica.ControllerTerm
import auburnhall.replica.ReplicaListener
import kotlin.random.Random

/** What the control thread works with. */
class ControlContext(
    val settings: Settings,
    val store: KeyValueStore,
    val clock: Clock,
    val scheduler: Scheduler,
    val random: Random,
    val events: EventListener,
)

/** Receives what the control thread knows and finds out; called on the control thread. */
interface ControlListener :
    ViewListener,
    ReplicaListener

/** Runs control. */
class ControlPlane(
    private val context: ControlContext,
    workers: WorkerClient,
    listener: ControlListener,
    relayFrom: Int,
    connect: (name: String, address: Address) -> ChangeSource,
) : MirrorListener,
    LeadershipListener,
    ProcessDirectory {
    private val mirror: StoreMirror = StoreMirror(context, this, ControlTiming())
    private val view =
        StoreView(context.settings.processName, context.events, listener, context.clock) { mirror.storeWasAway }

    /** Hands changes on to other processes. */
    val relay = RelayServer(context.clock, context.scheduler, mirror)
    private val registration = ProcessRegistration(context)
    private val leadership: Leadership = Leadership(context, this)

    /** The controllers of the replicas. */
    val replicas = ReplicaControllers(view, workers, context, listener)

    /** Whether this process controls the replicas. May be read on any thread. */
    val isLeading: Boolean get() = leadership.isLeading

    /** When the next tick is due. */
    private var dueAt = 0L

    override val controller: String? get() = mirror.find(Leadership.CONTROLLER_KEY)?.let { Leadership.holderOf(it) }

    override val processes: Map<String, PeerProcess> get() = view.peers

    init {
        mirror.relays = RelaySelector(context, this, relayFrom, connect)
    }

    /** Begins; call on the control thread. */
    fun start() {
        dueAt = context.clock.nowMs()
        replicas.mayOrder = { leadership.isLeading }
        mirror.start()
        registration.start()
        tick()
    }

    /** Hands control over and removes the registration. */
    fun stop() {
        leadership.stop()
        registration.stop()
    }

    override fun onPut(item: StoreItem) {
        if (item.key == Leadership.CONTROLLER_KEY) leadership.onKey(item) else view.onPut(item)
    }

    override fun onRemoved(
        key: String,
        revision: Long,
    ) {
        if (key == Leadership.CONTROLLER_KEY) leadership.onRemoved(revision) else view.onRemoved(key)
    }

    override fun onBatch(revision: Long) {
        seekLeadership()
        relay.onChanges()
        view.publish(revision)
    }

    override fun onLeadershipAcquired(revision: Long) {
        val first = context.settings.firstStart && revision < FIRST_REVISIONS
        replicas.onTerm(ControllerTerm(revision * EPOCHS_PER_REVISION, first))
    }

    override fun onLeadershipLost() = replicas.onTerm(null)

    private fun seekLeadership() {
        if (mirror.loaded && mirror.find(Leadership.CONTROLLER_KEY) == null) leadership.onNoLeader()
    }

    private fun tick() {
        val now = context.clock.nowMs()
        if (now - dueAt >= HELD_UP_MS) replicas.onHeldUp(now - dueAt)
        dueAt = now + TICK_PERIOD_MS
        view.expire()
        mirror.checkAge()
        leadership.check()
        seekLeadership()
        replicas.decide()
        context.scheduler.after(TICK_PERIOD_MS) { tick() }
    }

    private inner class ControlTiming : MirrorTiming {
        override val batchMs: Long
            get() = if (leadership.isLeading || relay.isAsked) RELAY_BATCH_MS else FOLLOWER_BATCH_MS

        override val waitMs: Long get() = if (relay.isAsked) RELAY_WAIT_MS else MAX_WAIT_MS
    }

    private companion object {
        const val TICK_PERIOD_MS = 100L

        /** A delay of a tick, in milliseconds, that is a good part of the time that a probe may take. */
        const val HELD_UP_MS = 50L

        /** The controller and the processes below those that hand changes on wait for what workers report. */
        const val RELAY_BATCH_MS = 100L

        /** A small part of the time within which draining workers and new configurations must be known. */
        const val FOLLOWER_BATCH_MS = 600L

        /** Epochs of one term; more than any term uses. */
        const val EPOCHS_PER_REVISION = 100_000L

        /** While others take changes from this process, it asks the store at least this often, to know its own age. */
        const val RELAY_WAIT_MS = 200L

        /** Otherwise the store answers at least this often; then a process above this one may be there again. */
        const val MAX_WAIT_MS = 3_000L

        /** Terms after this many revisions are not the first of the system. */
        const val FIRST_REVISIONS = 1_000L
    }
}
