/*
 * What this process knows from the store: the configuration, the workers and the other processes.
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

/** Receives what is known, on the control thread. */
interface ViewListener {
    /**
     * Requests are to be served under [configuration], with the workers of [fleet] and the open replicas by
     * service.
     */
    fun onState(
        configuration: Configuration,
        fleet: Fleet,
        replicas: Map<String, List<Replica>>,
    )

    /** The other processes, by name. */
    fun onPeers(peers: Map<String, PeerProcess>)
}

/** Keeps what was last read; takes over items under their keys. Control thread only. */
class StoreView(
    private val processName: String,
    private val events: EventListener,
    private val listener: ViewListener,
    clock: Clock,
    /** Whether entries may have lapsed because the store was away. */
    private val storeWasAway: () -> Boolean,
) {
    private val feed = WorkerRegistry(clock, events, storeWasAway)
    private val trackers = HashMap<String, ReplicaTracker>()
    private val processes = HashMap<String, PeerProcess>()
    private var peersChanged = false
    private var revision = 0L

    /** The newest configuration; null until one was read. */
    var configuration: Configuration? = null
        private set

    /** The other processes, by name. */
    val peers: Map<String, PeerProcess> get() = processes

    /** The workers as last published. */
    var fleet: Fleet = Fleet.EMPTY
        private set

    /** The replicas of [service] as last published. */
    fun tracker(service: String): ReplicaTracker = trackers.getOrPut(service) { ReplicaTracker(service) }

    /** An item was written. */
    fun onPut(item: StoreItem) {
        when {
            item.key == ConfigurationCodec.KEY -> onConfiguration(item)
            item.key.startsWith(WorkerEntryCodec.KEY_PREFIX) -> feed.onPut(item)
            item.key.startsWith(ProcessRegistration.KEY_PREFIX) -> addPeer(item)
        }
    }

    /** The item at [key] was removed. */
    fun onRemoved(key: String) {
        when {
            key == ConfigurationCodec.KEY -> events.log("configuration.removed", "kept" to configuration?.version)
            key.startsWith(WorkerEntryCodec.KEY_PREFIX) -> feed.onRemoved(key)
            key.startsWith(ProcessRegistration.KEY_PREFIX) ->
                removePeer(key.removePrefix(ProcessRegistration.KEY_PREFIX))
        }
    }

    /** All changes up to [at] were told; tells the listener. */
    fun publish(at: Long = revision) {
        revision = at
        if (peersChanged) listener.onPeers(HashMap(processes))
        peersChanged = false
        fleet = feed.fleet(revision)
        val current = configuration ?: return
        val engines = current.services.values.mapNotNull { of -> of.engine?.let { of.name to it } }
        val open = engines.associate { (name, engine) -> name to tracker(name).update(fleet, engine.models) }
        listener.onState(current, fleet, open)
    }

    /** Drops workers whose entries lapsed and did not come back. */
    fun expire() {
        if (feed.expire()) publish()
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

    private fun removePeer(name: String) {
        val removed = !storeWasAway() && processes.remove(name) != null
        peersChanged = removed || peersChanged
    }
}
