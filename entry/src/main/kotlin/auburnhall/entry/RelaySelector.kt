/*
 * Selects the source of the store's changes: a parent process in the relay tree, or the store itself when there are few
 * processes or no parent is usable. When the state of this process is too old, it asks a parent again, then other
 * processes, and the store when its turn comes: the store may be unavailable, and the processes must not all ask it.
 */
package auburnhall.entry

import auburnhall.core.Address
import auburnhall.core.StoreError
import auburnhall.core.log

/** The known processes and which of them is the controller. */
interface ProcessDirectory {
    /** The name of the process that controls the replicas; null while none is known. */
    val controller: String?

    /** The other processes, by name. */
    val processes: Map<String, PeerProcess>
}

/** The source of the next watch and how to ask it. */
class SelectedSource(
    val source: ChangeSource,
    /** Whether another process is asked because the state is too old. */
    val outdated: Boolean = false,
    /** Longest time, in milliseconds, to wait for a recent state if [outdated]. */
    val waitMs: Long = 0,
    /** Time, in milliseconds, after which a source is selected again without a response; null for that of the source. */
    val timeoutMs: Long? = null,
) {
    /** The name of the process that is asked; null for the store. */
    val peer: String? get() = source.peer
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
    private val turns = StoreTurns(context.clock, context.random)
    private val pausedUntilMs = HashMap<String, Long>()
    private var current: String? = null
    private var lastController: String? = null
    private var storeNext = false
    private var storeUntilMs = 0L
    private var asksParent = true
    private var answeredAtMs: Long? = null

    /**
     * Maximum age, in milliseconds, of relayed state at this process, after which it asks others. It is lower nearer to
     * the controller: when the controller loses the store, the processes below it change over first, and those that
     * take changes from them need not. At the controller itself it only shortens the first watch after a stall.
     */
    val maxAgeMs: Long
        get() {
            val controller = root() ?: return RelayServer.MAX_AGE_MS
            val levels = RelayTree.levels(peers.processes.size + 1)
            return RelayServer.MAX_AGE_MS - (levels - levelBelow(controller)) * (AGE_DIFFERENCE_SUM_MS / levels)
        }

    private val relayed: Boolean get() = peers.processes.isNotEmpty() && peers.processes.size + 1 >= minProcesses

    /** Whether state of age [ageMs] is too old. */
    fun isTooOld(ageMs: Long?): Boolean = ageMs != null && ageMs > maxAgeMs

    /** The source of the next watch; [ageMs] is the age of this process's state, null before the first load. */
    fun next(ageMs: Long?): SelectedSource {
        if (ageMs != null && relayed && isTooOld(ageMs)) return nextOutdated(ageMs)
        if (turns.begun) context.events.log("state.recent", "age_ms" to ageMs)
        turns.clear()
        val fromStore = ageMs == null || storeNext || context.clock.nowMs() < storeUntilMs
        val name = if (fromStore) null else selectParent()
        storeNext = false
        return SelectedSource(select(name))
    }

    /** [source] failed, as [cause] says; it is not selected for some time. */
    fun onFailed(
        source: String,
        cause: Any,
    ) {
        context.events.log("relay.lost", "source" to source, "cause" to cause)
        val reachable = cause is StoreError.TurnedAway || cause is StoreError.HistoryGone
        pausedUntilMs[source] = context.clock.nowMs() + if (reachable) REFUSAL_PAUSE_MS else PAUSE_MS
        if (cause is StoreError.HistoryGone) storeNext = !turns.begun
    }

    /** Another process answered. */
    fun onAnswered() {
        answeredAtMs = context.clock.nowMs()
    }

    /**
     * The process that was asked again did not respond in time. The store is asked now, and then for some time, since
     * other parents may be lost as well.
     */
    fun onNoResponse() {
        turns.begin(spread = false)
        storeUntilMs = context.clock.nowMs() + STORE_STAY_MS
    }

    /**
     * The store did not answer while the state had the age [ageMs]. Whether other processes are to be asked until this
     * one's next turn.
     */
    fun onStoreFailed(ageMs: Long?): Boolean {
        if (!relayed || !isTooOld(ageMs)) return false
        turns.onUsed()
        return true
    }

    private fun nextOutdated(ageMs: Long): SelectedSource {
        if (!turns.begun) {
            context.events.log("state.outdated", "age_ms" to ageMs, "source" to (current ?: "store"))
            val parent = selectParent()
            turns.begin(spread = parent != null && level() > 1)
            asksParent = false
            if (parent != null) return SelectedSource(sourceOf(parent), outdated = true, timeoutMs = FIRST_TIMEOUT_MS)
        }
        val dueInMs = turns.dueInMs(meanTurnMs())
        if (dueInMs == 0L) {
            turns.onUsed()
            return SelectedSource(select(null))
        }
        val peer = (if (asksParent) selectParent() else null) ?: randomPeer()
        asksParent = !asksParent
        return SelectedSource(sourceOf(peer), outdated = true, waitMs = minOf(dueInMs, OUTDATED_WAIT_MS))
    }

    /** Mean time between two turns: the levels of the relay tree share the calls to the store. */
    private fun meanTurnMs(): Long {
        val sharing = if (level() == 1) RelayTree.FAN_OUT else peers.processes.size
        val meanMs = if (level() == 0) ROOT_TURN_MS else sharing * StoreTurns.SPACING_MS
        val connected = answeredAtMs?.let { context.clock.nowMs() - it < CONNECTED_MS } == true
        return if (connected) meanMs else minOf(meanMs, MAX_ISOLATED_TURN_MS)
    }

    private fun randomPeer(): String {
        val names = peers.processes.keys
        return (names - pausedUntilMs.keys).ifEmpty { names }.random(context.random)
    }

    private fun select(name: String?): ChangeSource {
        if (name != current) context.events.log("relay.chosen", "source" to (name ?: "store"), "before" to current)
        current = name
        return name?.let(::sourceOf) ?: store
    }

    private fun sourceOf(name: String): ChangeSource {
        val host = peers.processes[name]?.host ?: return store
        return connect(name, Address(host, context.settings.peerPort))
    }

    /** The controller or, while there is none, the last one, so that not all processes ask the store meanwhile. */
    private fun root(): String? {
        lastController = peers.controller ?: lastController
        return lastController
    }

    private fun level(): Int = root()?.let(::levelBelow) ?: 1

    private fun levelBelow(controller: String) =
        RelayTree.level(context.settings.processName, controller, peers.processes.keys)

    private fun selectParent(): String? {
        val self = context.settings.processName
        val now = context.clock.nowMs()
        pausedUntilMs.values.removeIf { it <= now }
        val controller = root()?.takeIf { relayed && it != self } ?: return null
        return RelayTree
            .parents(self, controller, peers.processes.keys)
            .firstOrNull { it in peers.processes && it !in pausedUntilMs }
    }

    private companion object {
        /** Time for which a source is not selected after a failure. */
        const val PAUSE_MS = 3_000L

        /** Time for which a source is not selected after it refused: its state may be recent or complete again soon. */
        const val REFUSAL_PAUSE_MS = 1_000L

        /** Time for which the store is asked after a parent did not respond. */
        const val STORE_STAY_MS = 1_000L

        /** Sum of the differences in maximum age between the levels; leaves each level the waits of those above it. */
        const val AGE_DIFFERENCE_SUM_MS = 700L

        /** Time for a parent to say whether its state is recent: many round trips, and a short stall. */
        const val FIRST_TIMEOUT_MS = 100L

        /** Longest wait at a process that has no recent state either. */
        const val OUTDATED_WAIT_MS = 300L

        /** Mean time between the calls of the controller, on which the others wait, to a store that does not answer. */
        const val ROOT_TURN_MS = 500L

        /** Longest mean time between the calls of a process that reaches no other: it learns nothing otherwise. */
        const val MAX_ISOLATED_TURN_MS = 1_800L

        /** Time after an answer of another process for which this one counts as connected to the others. */
        const val CONNECTED_MS = 1_500L
    }
}
