/*
 * Decodes the mirrored items of the store: the configuration, the registered workers, the other processes and the
 * evacuations. Publishes the result once per batch of changes.
 */
package auburnhall.entry

import auburnhall.core.Clock
import auburnhall.core.Configuration
import auburnhall.core.EventListener
import auburnhall.core.Fleet
import auburnhall.core.Replica
import auburnhall.core.ReplicaTracker
import auburnhall.core.StoreItem
import auburnhall.core.StoredEvacuations
import auburnhall.core.log
import auburnhall.platform.ConfigurationCodec
import auburnhall.platform.EvacuationCodec
import auburnhall.platform.WorkerEntryCodec
import com.github.michaelbull.result.onFailure
import com.github.michaelbull.result.onSuccess

/** Receives the decoded state; called on the control thread. */
interface ViewListener {
    /**
     * Requests are to be served with this state; [replicas] are the open replicas by service, [evacuated] what the
     * store says of evacuations.
     */
    fun onState(
        configuration: Configuration,
        fleet: Fleet,
        replicas: Map<String, List<Replica>>,
        evacuated: StoredEvacuations,
    )

    /** The set of other processes, by name, has changed. */
    fun onPeers(peers: Map<String, PeerProcess>)
}

/** Keeps the state decoded from the latest items. Control thread only. */
class StoreView(
    processName: String,
    private val events: EventListener,
    private val listener: ViewListener,
    clock: Clock,
    source: EvacuationSource,
    /** Until when entries of live owners may be missing because the store was unavailable; null if none may be. */
    expiryUntilMs: () -> Long?,
) {
    private val registry = WorkerRegistry(clock, events, expiryUntilMs)
    private val trackers = HashMap<String, ReplicaTracker>()
    private val processes = PeerRegistry(processName, clock) { expiryUntilMs() != null }
    private val evacuations = EvacuationRegistry(clock, source)
    private var revision = 0L

    /** The newest valid configuration; null until one was read. */
    var configuration: Configuration? = null
        private set

    /** The other processes, by name. */
    val peers: Map<String, PeerProcess> get() = processes.peers

    /** The workers as last published. */
    var fleet: Fleet = Fleet.EMPTY
        private set

    /** The evacuations in the store as last published. */
    val evacuated: StoredEvacuations get() = evacuations.stored

    /** The open replicas of [service] as last published. */
    fun tracker(service: String): ReplicaTracker = trackers.getOrPut(service) { ReplicaTracker(service) }

    /** Decodes [item]; it takes effect at the next [publish]. */
    fun onPut(item: StoreItem) {
        when {
            item.key == ConfigurationCodec.KEY -> onConfiguration(item)
            item.key.startsWith(WorkerEntryCodec.KEY_PREFIX) -> registry.onPut(item)
            item.key.startsWith(ProcessRegistration.KEY_PREFIX) -> processes.onPut(item)
            item.key.startsWith(EvacuationCodec.KEY_PREFIX) -> evacuations.onPut(item)
        }
    }

    /** The entry [item] of a worker was read from a restored store; it takes effect at the next [publish]. */
    fun onRestored(item: StoreItem) = registry.onRestored(item)

    /** The item at [key] was removed; takes effect at the next [publish]. A removed configuration is kept. */
    fun onRemoved(key: String) {
        when {
            key == ConfigurationCodec.KEY -> events.log("configuration.removed", "kept" to configuration?.version)
            key.startsWith(WorkerEntryCodec.KEY_PREFIX) -> registry.onRemoved(key)
            key.startsWith(ProcessRegistration.KEY_PREFIX) -> processes.onRemoved(key)
            key.startsWith(EvacuationCodec.KEY_PREFIX) -> evacuations.onRemoved(key)
        }
    }

    /** Passes the state, complete up to the revision [at], to the listener. */
    fun publish(at: Long = revision) {
        revision = at
        if (processes.takeChanged()) listener.onPeers(HashMap(peers))
        fleet = registry.fleet(revision)
        evacuations.publish(revision)
        val current = configuration ?: return
        val engines = current.services.values.mapNotNull { service -> service.engine?.let { service.name to it } }
        val open = engines.associate { (name, engine) -> name to tracker(name).update(fleet, engine.models) }
        listener.onState(current, fleet, open, evacuated)
    }

    /** Removes workers, processes and evacuations that were not written again in time; called periodically. */
    fun expire() {
        val workersExpired = registry.expire()
        val processesExpired = processes.expire()
        if (workersExpired || processesExpired || evacuations.expire()) publish()
    }

    private fun onConfiguration(item: StoreItem) {
        ConfigurationCodec
            .decode(item.value)
            .onSuccess(::apply)
            .onFailure { events.log("configuration.unreadable", "revision" to item.revision, "cause" to it) }
    }

    private fun apply(newer: Configuration) {
        val current = configuration?.version
        if (current != null && newer.version < current) {
            events.log("configuration.older_ignored", "version" to newer.version, "current" to current)
            return
        }
        configuration = newer
        events.log(
            "configuration.applied",
            "version" to newer.version,
            "routes" to newer.routes.size,
            "before" to current,
        )
    }
}
