/*
 * Selects the source of the store's changes: a parent process in the relay tree, or the store itself when there are few
 * processes, when no parent is usable, or when the state of this process is too old.
 */
package auburnhall.entry

import auburnhall.core.Address
import auburnhall.core.log

/** The known processes and which of them is the controller. */
interface ProcessDirectory {
    /** The name of the process that controls the replicas; null while none is known. */
    val controller: String?

    /** The other processes, by name. */
    val processes: Map<String, PeerProcess>
}

/** Selects sources for this process. Control thread only. */
class RelaySelector(
    private val context: ControlContext,
    private val peers: ProcessDirectory,
    /** Minimum number of processes, this one included, at which changes are relayed. */
    private val minProcesses: Int,
    private val connect: (name: String, address: Address) -> ChangeSource,
) {
    private val store = StoreChangeSource(context.store)
    private val pausedUntilMs = HashMap<String, Long>()
    private var current: String? = null
    private var storeUntilMs = 0L
    private var lastController: String? = null

    /**
     * Maximum age, in milliseconds, of relayed state at this process, after which it asks the store. It is lower nearer
     * to the controller: when the controller loses the store, the processes below it change over first, and those that
     * take changes from them need not. At the controller itself it only shortens the first watch after a stall.
     */
    val maxAgeMs: Long
        get() {
            val controller = root() ?: return RelayServer.MAX_AGE_MS
            val levels = RelayTree.levels(peers.processes.size + 1)
            val level = RelayTree.level(context.settings.processName, controller, peers.processes.keys)
            return RelayServer.MAX_AGE_MS - (levels - level) * (AGE_DIFFERENCE_SUM_MS / levels)
        }

    /** Whether the store is asked since relayed state of age [ageMs] is too old; it then is to respond at once. */
    fun isTooOld(ageMs: Long?): Boolean = ageMs != null && ageMs > maxAgeMs

    /** The source of the next watch; [ageMs] is the age of this process's state, null before the first load. */
    fun next(ageMs: Long?): ChangeSource {
        val now = context.clock.nowMs()
        if (isTooOld(ageMs)) storeUntilMs = now + STORE_STAY_MS
        val name = if (ageMs == null || now < storeUntilMs) null else selectParent()
        if (name != current) context.events.log("relay.chosen", "source" to (name ?: "store"), "before" to current)
        current = name
        val host = name?.let { peers.processes[it]?.host } ?: return store
        return connect(name, Address(host, context.settings.peerPort))
    }

    /** [source] failed or its state is too old, as [cause] says; it is not selected for [PAUSE_MS]. */
    fun onFailed(
        source: String,
        cause: Any,
    ) {
        context.events.log("relay.lost", "source" to source, "cause" to cause)
        pausedUntilMs[source] = context.clock.nowMs() + PAUSE_MS
    }

    /** The controller or, while there is none, the last one, so that not all processes ask the store meanwhile. */
    private fun root(): String? {
        lastController = peers.controller ?: lastController
        return lastController
    }

    private fun selectParent(): String? {
        val self = context.settings.processName
        val relayed = peers.processes.size + 1 >= minProcesses
        val controller = root()?.takeIf { relayed && it != self } ?: return null
        val now = context.clock.nowMs()
        pausedUntilMs.values.removeIf { it <= now }
        return RelayTree
            .parents(self, controller, peers.processes.keys)
            .firstOrNull { it in peers.processes && it !in pausedUntilMs }
    }

    private companion object {
        /** Time for which a source is not selected after a failure. */
        const val PAUSE_MS = 3_000L

        /** Time for which the store is asked after relayed state was too old, since other parents may fail as well. */
        const val STORE_STAY_MS = 1_000L

        /** Sum of the differences in maximum age between the levels; leaves each level the waits of those above it. */
        const val AGE_DIFFERENCE_SUM_MS = 700L
    }
}
