/*
 * The control thread: what this process knows of the configuration, the workers and the other processes, and, while it
 * is the controller, the replicas.
 */
package auburnhall.entry

import auburnhall.core.Clock
import auburnhall.core.Configuration
import auburnhall.core.EventListener
import auburnhall.core.Fleet
import auburnhall.core.KeyValueStore
import auburnhall.core.Replica
import auburnhall.core.ReplicaTracker
import auburnhall.core.Scheduler
import auburnhall.core.Settings
import auburnhall.core.StoreItem
import auburnhall.core.log
import auburnhall.platform.ConfigurationCodec
import auburnhall.platform.WorkerCalls
import auburnhall.platform.WorkerEntryCodec
import auburnhall.replica.ControllerTerm
import auburnhall.replica.Order
import auburnhall.replica.ReplicaController
import auburnhall.replica.ReplicaEpoch
import auburnhall.replica.ReplicaListener
import com.github.michaelbull.result.onFailure
import com.github.michaelbull.result.onSuccess
import kotlin.random.Random

/** Receives what the control thread knows; called on the control thread. */
interface ControlListener {
    /** Requests are to be served under [configuration] with the workers of [fleet] and the open [replicas] by service. */
    fun onState(
        configuration: Configuration,
        fleet: Fleet,
        replicas: Map<String, List<Replica>>,
    )

    /** All members of a replica that was suspected have answered. */
    fun onSound(key: ReplicaEpoch)

    /** A replica is taken apart and must get no more requests. */
    fun onBreaking(key: ReplicaEpoch)

    /** The other processes, by name, with the hosts at which they are reached. */
    fun onPeers(peers: Map<String, String>)
}

/** Runs control on [scheduler]'s thread. */
class ControlPlane(
    private val settings: Settings,
    private val store: KeyValueStore,
    private val workers: WorkerCalls,
    private val clock: Clock,
    private val scheduler: Scheduler,
    private val random: Random,
    private val events: EventListener,
    private val listener: ControlListener,
) : MirrorListener,
    LeadershipListener,
    ReplicaListener {
    private val mirror = StoreMirror("", store, clock, scheduler, random, events, this, ::batchMs)
    private val feed = FleetFeed(clock, events, ::storeWasAway)
    private val registration = Registration(settings.processName, settings.host, store, scheduler, events)
    private val leadership =
        Leadership(settings.processName, store, clock, scheduler, random, events, this, settings.minLeaseMs)
    private val peers = HashMap<String, String>()
    private val trackers = HashMap<String, ReplicaTracker>()
    private val controllers = HashMap<String, ReplicaController>()
    private var configuration: Configuration? = null
    private var fleet = Fleet.EMPTY
    private var revision = 0L
    private var term: ControllerTerm? = null
    private var peersChanged = false
    private var controlDue = false

    /** Whether this process controls the replicas. */
    val isLeading: Boolean get() = leadership.isLeading

    /** Begins; call on the control thread. */
    fun start() {
        mirror.start()
        registration.start()
        tick()
    }

    /** Hands control over and removes the registration. */
    fun stop() {
        leadership.stop()
        registration.stop()
    }

    /** A replica has fallen silent. */
    fun onSuspect(key: ReplicaEpoch) {
        if (!leadership.isLeading) return
        controllers.values.forEach { it.onSuspect(key) }
        controlSoon()
    }

    /** The traffic thread has counted which part of the slots of each model is taken, by service and model. */
    fun onPressure(counted: Map<String, Map<String, Double>>) {
        controllers.forEach { (service, controller) -> controller.pressure = counted[service].orEmpty() }
    }

    override fun onSound(key: ReplicaEpoch) = listener.onSound(key)

    override fun onBreaking(key: ReplicaEpoch) = listener.onBreaking(key)

    override fun onPut(item: StoreItem) {
        when {
            item.key == ConfigurationCodec.KEY -> onConfiguration(item)
            item.key == Leadership.CONTROLLER_KEY -> leadership.onKey(item)
            item.key.startsWith(WorkerEntryCodec.PREFIX) -> feed.onPut(item)
            item.key.startsWith(Registration.PREFIX) -> onPeer(item)
        }
    }

    override fun onRemoved(
        key: String,
        revision: Long,
    ) {
        when {
            key == Leadership.CONTROLLER_KEY -> leadership.onRemoved(revision)
            key == ConfigurationCodec.KEY -> events.log("configuration.removed", "kept" to configuration?.version)
            key.startsWith(WorkerEntryCodec.PREFIX) -> feed.onRemoved(key)
            key.startsWith(Registration.PREFIX) -> removePeer(key.removePrefix(Registration.PREFIX))
        }
    }

    override fun onBatch(revision: Long) {
        this.revision = revision
        if (mirror.find(Leadership.CONTROLLER_KEY) == null) leadership.onVacant()
        if (peersChanged) {
            peersChanged = false
            listener.onPeers(HashMap(peers))
        }
        publish()
    }

    override fun onElected(revision: Long) {
        term = ControllerTerm(revision * EPOCHS_PER_REVISION, settings.firstStart && revision < FIRST_REVISIONS)
        controllers.clear()
    }

    override fun onDeposed() {
        term = null
        controllers.clear()
    }

    private fun batchMs() = if (leadership.isLeading) CONTROLLER_BATCH_MS else FOLLOWER_BATCH_MS

    private fun storeWasAway(): Boolean {
        val regained = mirror.regainedAt
        return mirror.disconnected || (regained != null && clock.nowMs() - regained < LAPSE_MS)
    }

    private fun onConfiguration(item: StoreItem) {
        ConfigurationCodec
            .decode(item.value)
            .onSuccess(::applyConfiguration)
            .onFailure { events.log("configuration.unreadable", "revision" to item.revision, "cause" to it) }
    }

    private fun applyConfiguration(newer: Configuration) {
        val current = configuration?.version
        if (current != null && newer.version < current) {
            events.log("configuration.older_ignored", "version" to newer.version, "current" to current)
            return
        }
        configuration = newer
        events.log("configuration.applied", "version" to newer.version, "routes" to newer.routes.size, "before" to current)
    }

    private fun onPeer(item: StoreItem) {
        val name = item.key.removePrefix(Registration.PREFIX)
        if (name == settings.processName) return
        peers[name] = String(item.value)
        peersChanged = true
    }

    private fun removePeer(name: String) {
        if (storeWasAway()) return
        if (peers.remove(name) != null) peersChanged = true
    }

    private fun publish() {
        fleet = feed.fleet(revision)
        val current = configuration ?: return
        val engines = current.services.values.mapNotNull { of -> of.engine?.let { of.name to it } }
        val open = engines.associate { (name, engine) -> name to tracker(name).update(fleet, engine.models) }
        listener.onState(current, fleet, open)
    }

    private fun tick() {
        if (feed.expire()) publish()
        leadership.check()
        if (mirror.loaded && mirror.find(Leadership.CONTROLLER_KEY) == null) leadership.onVacant()
        if (leadership.isLeading) control()
        scheduler.after(TICK_MS) { tick() }
    }

    private fun control() {
        val current = term ?: return
        for (service in configuration?.services?.values.orEmpty()) {
            val engine = service.engine ?: continue
            val controller = controllers.getOrPut(service.name) { newController(service.name, current) }
            controller.tick(fleet, engine, tracker(service.name)).forEach { send(controller, it) }
        }
    }

    private fun send(
        controller: ReplicaController,
        order: Order,
    ) {
        if (order !is Order.Probe) {
            events.log("order.sent", "order" to order.javaClass.simpleName, "worker" to order.worker.id, "fleet" to revision)
        }
        workers.send(order) {
            controller.onResult(order, it)
            controlSoon()
        }
    }

    /** Decides again without waiting for the next tick; several results that come together are decided on at once. */
    private fun controlSoon() {
        if (controlDue) return
        controlDue = true
        scheduler.after(CONTROL_SOON_MS) {
            controlDue = false
            if (leadership.isLeading) control()
        }
    }

    private fun tracker(service: String) = trackers.getOrPut(service) { ReplicaTracker(service) }

    private fun newController(
        service: String,
        current: ControllerTerm,
    ) = ReplicaController(service, clock, current, events, this)

    private companion object {
        const val TICK_MS = 100L
        const val CONTROL_SOON_MS = 5L

        /** The controller waits for what workers report. */
        const val CONTROLLER_BATCH_MS = 100L

        /** A small part of the time within which draining workers and new configurations must be known. */
        const val FOLLOWER_BATCH_MS = 600L

        /** Epochs of one term; more than any term uses. */
        const val EPOCHS_PER_REVISION = 100_000L

        /** Time after the store is back in which its leases may still lapse, in milliseconds. */
        const val LAPSE_MS = 2_500L

        /** Terms after this many revisions are not the first of the system. */
        const val FIRST_REVISIONS = 1_000L
    }
}
