/*
 * Chooses the source of the store's changes: a process above this one in the tree, or the store itself while there is
 * none, when it fails, or when what it says is too old.
 */
package auburnhall.entry

import auburnhall.core.Address
import auburnhall.core.log

/** What is known of the other processes. */
interface ProcessDirectory {
    /** The process that controls the replicas; null while none is known. */
    val controller: String?

    /** The other processes, by name. */
    val processes: Map<String, PeerProcess>
}

/** Chooses sources for this process. Control thread only. */
class RelaySelector(
    private val context: ControlContext,
    private val peers: ProcessDirectory,
    /** Number of processes from which on they take the store's changes from each other. */
    private val fewest: Int,
    private val connect: (name: String, address: Address) -> ChangeSource,
) {
    private val store = StoreChangeSource(context.store)
    private val pausedUntil = HashMap<String, Long>()
    private var current: String? = null

    /** The source to ask next, when what this process knows is [ageMs] old; null when it knows nothing. */
    fun next(ageMs: Long?): ChangeSource {
        val name = if (ageMs == null || ageMs > RelayServer.OLDEST_MS) null else choose()
        if (name != current) context.events.log("relay.chosen", "source" to (name ?: "store"), "before" to current)
        current = name
        val host = name?.let { peers.processes[it]?.host } ?: return store
        return connect(name, Address(host, context.settings.peerPort))
    }

    /** [source] failed, or is too old, because of [cause]. */
    fun onFailed(
        source: String,
        cause: Any,
    ) {
        context.events.log("relay.lost", "source" to source, "cause" to cause)
        pausedUntil[source] = context.clock.nowMs() + PAUSE_MS
    }

    private fun choose(): String? {
        val self = context.settings.processName
        val many = peers.processes.size + 1 >= fewest
        val controller = peers.controller?.takeIf { many && it != self } ?: return null
        val now = context.clock.nowMs()
        pausedUntil.values.removeIf { it <= now }
        return RelayTree
            .parents(self, controller, peers.processes.keys)
            .firstOrNull { it in peers.processes && it !in pausedUntil }
    }

    private companion object {
        /** Time for which a source that failed is not asked again, in milliseconds. */
        const val PAUSE_MS = 3_000L
    }
}
