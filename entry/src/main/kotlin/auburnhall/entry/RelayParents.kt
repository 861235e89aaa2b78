/*
 * The processes from which this one can take the store's changes: its parents in the relay tree, and any other. Those
 * that failed are left out for some time.
 */
package auburnhall.entry

import auburnhall.core.Address
import auburnhall.core.StoreError
import auburnhall.core.StoreItem
import auburnhall.core.log

/** The known processes and which of them is the controller. */
interface ProcessDirectory {
    /** The name of the process that controls the replicas; null while none is known. */
    val controller: String?

    /** The other processes, by name. */
    val processes: Map<String, PeerProcess>
}

/** The processes as [items] of the store show them to [self]. */
internal class ReadDirectory(
    self: String,
    items: Map<String, StoreItem>,
) : ProcessDirectory {
    override val controller = items[Leadership.CONTROLLER_KEY]?.let(Leadership::holderOf)

    override val processes =
        items.values
            .filter { it.key.startsWith(ProcessRegistration.KEY_PREFIX) }
            .associate { it.key.removePrefix(ProcessRegistration.KEY_PREFIX) to PeerProcess.decode(it.value) } - self
}

/** Selects among the processes that [peers] knows. Control thread only. */
internal class RelayParents(
    private val context: ControlContext,
    private val peers: ProcessDirectory,
    /** Minimum number of processes, this one included, at which changes are relayed. */
    private val minProcesses: Int,
    private val connect: (name: String, address: Address) -> ChangeSource,
) {
    private val self = context.settings.processName
    private val pausedUntilMs = HashMap<String, Long>()
    private var lastController: String? = null
    private var lastTree: RelayTree? = null

    /** Number of other processes. */
    val others: Int get() = peers.processes.size

    /** Whether there are enough processes to relay changes. */
    val relayed: Boolean get() = isRelayed(peers)

    /** The relay tree of the processes that are known now. It is kept, since sorting hundreds of names takes time. */
    val tree: RelayTree
        get() {
            val places = placesOf(peers)
            val root = root()
            val known = lastTree?.takeIf { it.controller == root && it.dataCentres == places }
            return known ?: RelayTree(root, places).also { lastTree = it }
        }

    /** Level of this process in the relay tree; 0 for the controller, 1 for its children. */
    val level: Int get() = tree.level(self)

    /** The parent to ask; null if there is none that can be asked, as for the controller. */
    fun select(): String? = selectIn(peers, tree)

    /** The parent that a process which knows just [items] of the store is to ask; null if there is none. */
    fun selectFirst(items: Map<String, StoreItem>): ChangeSource? {
        val read = ReadDirectory(self, items)
        val tree = read.controller?.let { RelayTree(it, placesOf(read)) }
        val name = tree?.let { selectIn(read, it) } ?: return null
        return connect(name, Address(read.processes.getValue(name).host, context.settings.peerPort))
    }

    /** Any other process, if possible one that did not fail. */
    fun random(): String {
        val names = peers.processes.keys
        return (names - pausedUntilMs.keys).ifEmpty { names }.random(context.random)
    }

    /** The process [name] as a source; null when it is not known any more. */
    fun sourceOf(name: String): ChangeSource? =
        peers.processes[name]?.let { connect(name, Address(it.host, context.settings.peerPort)) }

    /** The process [name] failed, as [cause] says; it is not selected for some time. */
    fun onFailed(
        name: String,
        cause: StoreError,
    ) {
        context.events.log("relay.lost", "source" to name, "cause" to cause)
        val reachable = cause is StoreError.TurnedAway || cause is StoreError.HistoryGone
        pausedUntilMs[name] = context.clock.nowMs() + if (reachable) REFUSAL_PAUSE_MS else PAUSE_MS
    }

    private fun isRelayed(among: ProcessDirectory) =
        among.processes.isNotEmpty() && among.processes.size + 1 >= minProcesses

    /**
     * The controller or, while there is none, the last one, so that not all processes ask the store meanwhile; before
     * the first one is known, the first process by name.
     */
    private fun root(): String {
        lastController = peers.controller ?: lastController
        return lastController ?: (peers.processes.keys + self).min()
    }

    private fun selectIn(
        among: ProcessDirectory,
        tree: RelayTree,
    ): String? {
        val now = context.clock.nowMs()
        pausedUntilMs.values.removeIf { it <= now }
        if (!isRelayed(among)) return null
        return tree.parents(self).firstOrNull { it in among.processes && it !in pausedUntilMs }
    }

    private fun placesOf(among: ProcessDirectory) =
        among.processes.mapValues { it.value.dataCentre } + (self to context.settings.dataCentre)

    private companion object {
        /** Time for which a process is not selected after a failure. */
        const val PAUSE_MS = 3_000L

        /** The same after it refused: its state may be recent or complete again soon. */
        const val REFUSAL_PAUSE_MS = 1_000L
    }
}
