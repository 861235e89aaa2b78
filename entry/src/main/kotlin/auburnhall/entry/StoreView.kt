/*
 * Decodes the mirrored items of the store: the configuration, the registered workers and the other processes. Publishes
 * the result once per batch of changes.
 */
package auburnhall.entry

import auburnhall.core.Clock
import auburnhall.core.Configuration
import auburnhall.core.EventListener
import auburnhall.core.Fleet
import auburnhall.core.Replica
import auburnhall.core.ReplicaTracker
import auburnhall.core.StoreItem
import auburnhall.core.log
import auburnhall.platform.ConfigurationCodec
import auburnhall.platform.WorkerEntryCodec
import com.github.michaelbull.result.onFailure
import com.github.michaelbull.result.onSuccess

/** Receives the decoded state; called on the control thread. */
interface ViewListener {
    /** Requests are to be served with this state; [replicas] are the open replicas by service. */
    fun onState(
        configuration: Configuration,
        fleet: Fleet,
        replicas: Map<String, List<Replica>>,
    )

    /** The set of other processes, by name, has changed. */
    fun onPeers(peers: Map<String, PeerProcess>)
}

/** Keeps the state decoded from the latest items. Control thread only. */
class StoreView(
    private val processName: String,
    private val events: EventListener,
    private val listener: ViewListener,
    clock: Clock,
    /** Whether leases may have expired because the store was unavailable. */
    private val storeWasUnavailable: () -> Boolean,
) {
    private val registry = WorkerRegistry(clock, events, storeWasUnavailable)
    private val trackers = HashMap<String, ReplicaTracker>()
    private val processes = HashMap<String, PeerProcess>()
    private var peersChanged = false
    private var revision = 0L

    /** The newest valid configuration; null until one was read. */
    var configuration: Configuration? = null
        private set

    /** The other processes, by name. */
    val peers: Map<String, PeerProcess> get() = processes

    /** The workers as last published. */
    var fleet: Fleet = Fleet.EMPTY
        private set

    /** The open replicas of [service] as last published. */
    fun tracker(service: String): ReplicaTracker = trackers.getOrPut(service) { ReplicaTracker(service) }

    /** Decodes [item]; it takes effect at the next [publish]. */
    fun onPut(item: StoreItem) {
        when {
            item.key == ConfigurationCodec.KEY -> onConfiguration(item)
            item.key.startsWith(WorkerEntryCodec.KEY_PREFIX) -> registry.onPut(item)
            item.key.startsWith(ProcessRegistration.KEY_PREFIX) -> addPeer(item)
        }
    }

    /** The item at [key] was removed; takes effect at the next [publish]. A removed configuration is kept. */
    fun onRemoved(key: String) {
        when {
            key == ConfigurationCodec.KEY -> events.log("configuration.removed", "kept" to configuration?.version)
            key.startsWith(WorkerEntryCodec.KEY_PREFIX) -> registry.onRemoved(key)
            key.startsWith(ProcessRegistration.KEY_PREFIX) -> dropPeer(key.removePrefix(ProcessRegistration.KEY_PREFIX))
        }
    }

    /** Passes the state, complete up to the revision [at], to the listener. */
    fun publish(at: Long = revision) {
        revision = at
        if (peersChanged) listener.onPeers(HashMap(processes))
        peersChanged = false
        fleet = registry.fleet(revision)
        val current = configuration ?: return
        val engines = current.services.values.mapNotNull { service -> service.engine?.let { service.name to it } }
        val open = engines.associate { (name, engine) -> name to tracker(name).update(fleet, engine.models) }
        listener.onState(current, fleet, open)
    }

    /** Removes workers that did not register again in time after their leases expired; called periodically. */
    fun expire() {
        if (registry.expire()) publish()
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

    private fun addPeer(item: StoreItem) {
        val name = item.key.removePrefix(ProcessRegistration.KEY_PREFIX)
        if (name == processName) return
        val process = PeerProcess.decode(item.value)
        peersChanged = processes.put(name, process) != process || peersChanged
    }

    private fun dropPeer(name: String) {
        val removed = !storeWasUnavailable() && processes.remove(name) != null
        peersChanged = removed || peersChanged
    }
}
