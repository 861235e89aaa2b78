/*
 * The control thread: mirrors the store, keeps this process registered, takes part in the election of the controller
 * and, while this process is the controller, controls the replicas.
 */
package auburnhall.entry

import auburnhall.core.Address
import auburnhall.core.Clock
import auburnhall.core.EventListener
import auburnhall.core.KeyValueStore
import auburnhall.core.Scheduler
import auburnhall.core.Settings
import auburnhall.core.StoreItem
import auburnhall.core.StorePosition
import auburnhall.core.log
import auburnhall.platform.WorkerClient
import auburnhall.platform.WorkerEntryCodec
import auburnhall.replica.ControllerTerm
import auburnhall.replica.ReplicaListener
import kotlin.random.Random

/** Dependencies that the components of the control thread share. */
class ControlContext(
    val settings: Settings,
    val store: KeyValueStore,
    val clock: Clock,
    val scheduler: Scheduler,
    val random: Random,
    val events: EventListener,
)

/** Receives the state read from the store and the status of replicas; called on the control thread. */
interface ControlListener :
    ViewListener,
    QuarantineListener,
    ReplicaListener

/** Owns the components of the control thread and runs their timer. */
class ControlPlane(
    private val context: ControlContext,
    sightings: StoreSightings,
    workers: WorkerClient,
    listener: ControlListener,
    relayMinProcesses: Int,
    connect: (name: String, address: Address) -> ChangeSource,
) : MirrorListener,
    LeadershipListener,
    ProcessDirectory {
    private val mirror: StoreMirror = StoreMirror(context, this, ControlTiming(), sightings)
    private val view =
        StoreView(context.settings.processName, context.events, listener, context.clock, MirroredEvacuations()) {
            mirror.expiryUntilMs
        }

    /** Relays the store's changes to other processes. */
    val relay = RelayServer(context.clock, context.scheduler, mirror)
    private val registration = ProcessRegistration(context)
    private val leadership: Leadership = Leadership(context, this, MirroredElection())

    /** The quarantined parts in the store. */
    val quarantine = QuarantineRecords(context, listener)

    /** Controls the replicas while this process is the controller. */
    val replicas = ReplicaControllers(view, workers, context, listener)

    /** Whether this process reaches no worker; another one is the controller then. */
    var isolated = false
        set(value) {
            field = value
            if (leadership.unfit != STOPPING) leadership.unfit = if (value) "no worker is reached" else null
        }

    /** Whether this process is the controller. May be read on any thread. */
    val isLeading: Boolean get() = leadership.isLeading

    private var startedAtMs = 0L
    private var mirroredEra = 0L

    /** Due time of the next tick; a late tick means that the control thread stalled. */
    private var tickDueAtMs = 0L

    override val controller: String? get() = mirror.find(Leadership.CONTROLLER_KEY)?.let { Leadership.holderOf(it) }

    override val processes: Map<String, PeerProcess> get() = view.peers

    init {
        mirror.relaySelector = RelaySelector(context, this, relayMinProcesses, connect)
        context.store.onNewEra = {
            context.events.log("store.restored", "era" to context.store.era, "mirrored" to mirror.position)
            leadership.onNewEra()
            quarantine.onNewEra()
            registration.start()
            mirror.onNewEra()
        }
    }

    /** Starts all components; call on the control thread. */
    fun start() {
        startedAtMs = context.clock.nowMs()
        tickDueAtMs = startedAtMs
        replicas.mayOrder = { leadership.isLeading }
        mirror.start()
        registration.start()
        tick()
    }

    /** Ends the leases of the controller key and of the registration, so that other processes notice at once. */
    fun stop() {
        leadership.unfit = STOPPING
        registration.stop()
    }

    override fun onPut(item: StoreItem) {
        when {
            item.key == Leadership.CONTROLLER_KEY -> leadership.onKey(item)
            item.key.startsWith(QuarantineRecords.KEY_PREFIX) -> quarantine.onPut(item)
            else -> view.onPut(item)
        }
    }

    override fun onRestored(item: StoreItem) =
        if (item.key.startsWith(WorkerEntryCodec.KEY_PREFIX)) view.onRestored(item) else onPut(item)

    override fun onRemoved(
        key: String,
        revision: Long,
    ) {
        when {
            key == Leadership.CONTROLLER_KEY -> leadership.onRemoved(revision)
            key.startsWith(QuarantineRecords.KEY_PREFIX) -> quarantine.onRemoved(key)
            else -> view.onRemoved(key)
        }
    }

    override fun onBatch(revision: Long) {
        if (mirror.position.era != mirroredEra) leadership.onRestored(mirror.find(Leadership.CONTROLLER_KEY))
        mirroredEra = mirror.position.era
        checkController()
        relay.onChanges()
        view.publish(revision)
    }

    override fun onLeadershipAcquired(position: StorePosition) {
        val first = context.settings.firstStart && context.clock.nowMs() - startedAtMs < FIRST_TERM_MAX_AGE_MS
        val firstEpoch = position.era * EPOCHS_PER_ERA + position.revision * EPOCHS_PER_REVISION
        replicas.onTerm(ControllerTerm(firstEpoch, first))
    }

    override fun onLeadershipLost() = replicas.onTerm(null)

    private fun checkController() {
        if (mirror.loaded) leadership.onMirrored(mirror.find(Leadership.CONTROLLER_KEY))
    }

    private inner class MirroredElection : ElectionState {
        override val vacant: Boolean get() = mirror.find(Leadership.CONTROLLER_KEY) == null

        override val processes: Int get() = view.peers.size + 1
    }

    private inner class MirroredEvacuations : EvacuationSource {
        override val era: Long get() = mirror.position.era

        override val readAtMs: Long? get() = mirror.ageMs?.let { context.clock.nowMs() - it }
    }

    private fun tick() {
        val now = context.clock.nowMs()
        if (now - tickDueAtMs >= STALL_THRESHOLD_MS) replicas.onStall(now - tickDueAtMs)
        val periodMs = if (leadership.isLeading) TICK_PERIOD_MS else FOLLOWER_TICK_PERIOD_MS
        tickDueAtMs = now + periodMs
        view.expire()
        mirror.checkAge()
        leadership.check()
        registration.check(missing = mirror.loaded && mirror.find(registration.key) == null)
        checkController()
        if (leadership.isLeading) quarantine.write()
        replicas.decide()
        context.scheduler.after(periodMs) { tick() }
    }

    private inner class ControlTiming : MirrorTiming {
        override val batchMs: Long
            get() = if (leadership.isLeading || relay.hasClients) RELAY_BATCH_MS else followerBatchMs

        private val followerBatchMs =
            minOf(FOLLOWER_BATCH_MS, (context.settings.bounds.evacuateMs ?: Long.MAX_VALUE) / BATCHES_PER_EVACUATION)

        override val waitMs: Long get() = if (relay.hasClients) RELAY_WATCH_WAIT_MS else MAX_WATCH_WAIT_MS

        override val relayWaitMs: Long get() = RELAY_WAIT_SUM_MS / RelayTree.levels(view.peers.size + 1)
    }

    private companion object {
        const val STOPPING = "stopping"
        const val TICK_PERIOD_MS = 100L

        /** Period of other processes: a small part of the age at which their state is too old. */
        const val FOLLOWER_TICK_PERIOD_MS = 200L

        /** Delay of a tick that is reported as a stall: a large part of the time that a probe may take. */
        const val STALL_THRESHOLD_MS = 50L

        /**
         * Batching interval of the controller and of processes that relay changes; short, since replica control and the
         * child processes in the relay tree wait for what workers report.
         */
        const val RELAY_BATCH_MS = 100L

        /**
         * Batching interval of all other processes: a small part of the time within which a process must know about
         * draining workers and new configurations.
         */
        const val FOLLOWER_BATCH_MS = 600L

        /** Batching intervals within the time in which an evacuation is to be in force. */
        const val BATCHES_PER_EVACUATION = 8L

        /**
         * Sum of the longest waits for changes over all levels of the relay tree: the ages of the levels add up and
         * must stay below [RelayServer.MAX_AGE_MS], also on slow machines.
         */
        const val RELAY_WAIT_SUM_MS = 600L

        /** Epochs reserved for a term, counted from its revision; more than any term uses. */
        const val EPOCHS_PER_REVISION = 100_000L

        /**
         * Longest wait of a watch of the store while other processes take changes from this one: each response, even
         * without changes, confirms that the mirror is up to date and resets the age that is reported to them.
         */
        const val RELAY_WATCH_WAIT_MS = 200L

        /**
         * Longest wait of a watch of the store otherwise; the source is selected again after each watch, since a parent
         * process in the relay tree may be available again.
         */
        const val MAX_WATCH_WAIT_MS = 3_000L

        /**
         * Epochs reserved for an era of the store, in which revisions begin from below again: more than 10^8 revisions
         * use. Epochs stay exact as floating-point numbers for 900 eras.
         */
        const val EPOCHS_PER_ERA = 10_000_000_000_000L

        /** Age of the process after which a term is not the first of the system; requests come later than this. */
        const val FIRST_TERM_MAX_AGE_MS = 6_000L
    }
}
