/*
 * Selects the source of the store's changes: a parent process in the relay tree, or the store itself when there are few
 * processes, when no parent is usable, or as OutdatedSources says when the state of this process is too old.
 */
package auburnhall.entry

import auburnhall.core.Address
import auburnhall.core.StoreError
import auburnhall.core.StoreItem
import auburnhall.core.log

/** The source of the next watch and how to ask it. */
class SelectedSource(
    val source: ChangeSource,
    /** Whether another process is asked because the state is too old. */
    val outdated: Boolean = false,
    /** Longest time, in milliseconds, to wait for a recent state if [outdated]. */
    val waitMs: Long = 0,
    /** Time, in milliseconds, after which a source is selected again; null to wait for a response or a failure. */
    val timeoutMs: Long? = null,
) {
    /** The name of the process that is asked; null for the store. */
    val peer: String? get() = source.peer
}

/** Selects sources for this process. Control thread only. */
class RelaySelector(
    private val context: ControlContext,
    peers: ProcessDirectory,
    /** Minimum number of processes, this one included, at which changes are relayed. */
    minProcesses: Int,
    connect: (name: String, address: Address) -> ChangeSource,
) {
    private val store = StoreChangeSource(context.store)
    private val parents = RelayParents(context, peers, minProcesses, connect)
    private val outdated = OutdatedSources(context, parents, store)
    private var current: String? = null
    private var storeNext = false

    /**
     * Maximum age, in milliseconds, of relayed state at this process, after which it asks others. It is lower nearer to
     * the controller: when the controller loses the store, the processes below it change over first, and those that
     * take changes from them need not. At the controller itself it only shortens the first watch after a stall.
     */
    val maxAgeMs: Long
        get() {
            val tree = parents.tree
            val below = tree.levels - tree.level(context.settings.processName)
            return RelayServer.MAX_AGE_MS - below * (AGE_DIFFERENCE_SUM_MS / tree.levels)
        }

    /** Number of levels of the relay tree below the controller. */
    val levels: Int get() = parents.tree.levels

    /** Whether state of age [ageMs] is too old. */
    fun isTooOld(ageMs: Long?): Boolean = ageMs != null && ageMs > maxAgeMs

    /** The source of the next watch; [ageMs] is the age of this process's state, null before the first load. */
    fun next(ageMs: Long?): SelectedSource {
        val tooOld = ageMs != null && parents.relayed && isTooOld(ageMs)
        val selected = if (tooOld) outdated.next(checkNotNull(ageMs)) else nextRecent(ageMs)
        storeNext = false
        if (!selected.outdated) onSelected(selected.peer)
        return selected
    }

    /** The parent that is asked for what pages with [items], which may be old, lack; null if there is none. */
    fun firstSource(items: Map<String, StoreItem>): ChangeSource? = parents.selectFirst(items)

    /** The process [source] failed, as [cause] says. */
    fun onFailed(
        source: String,
        cause: StoreError,
    ) {
        parents.onFailed(source, cause)
        if (cause is StoreError.HistoryGone) storeNext = !outdated.active
    }

    /** Another process answered. */
    fun onAnswered() = outdated.onAnswered()

    /** The source that was selected last did not respond in time. */
    fun onNoResponse() = outdated.onNoResponse()

    /**
     * The store did not answer while the state had the age [ageMs]. Whether other processes are to be asked until this
     * one's next turn.
     */
    fun onStoreFailed(ageMs: Long?): Boolean {
        val askOthers = parents.relayed && isTooOld(ageMs)
        if (askOthers) outdated.onStoreFailed()
        return askOthers
    }

    private fun nextRecent(ageMs: Long?): SelectedSource {
        outdated.clear()
        val fromStore = ageMs == null || storeNext || outdated.staysWithStore
        val parent = if (fromStore) null else parents.select()?.let(parents::sourceOf)
        return SelectedSource(parent ?: store)
    }

    private fun onSelected(peer: String?) {
        if (peer != current) context.events.log("relay.chosen", "source" to (peer ?: "store"), "before" to current)
        current = peer
    }

    private companion object {
        /** Sum of the differences in maximum age between the levels; leaves each level the waits of those above it. */
        const val AGE_DIFFERENCE_SUM_MS = 700L
    }
}
