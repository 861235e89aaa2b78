/*
 * An in-memory copy of the store. It is loaded page by page and then kept up to date by watching for changes, either in
 * the store itself or at another process that relays them. It is loaded again when the source no longer has all changes
 * since the mirrored revision, and when the store was restored: the revisions that are mirrored then belong to an era
 * whose changes may be lost, and the store reaches them again with other changes.
 */
package auburnhall.entry

import auburnhall.core.StoreChange
import auburnhall.core.StoreError
import auburnhall.core.StoreItem
import auburnhall.core.StorePosition
import auburnhall.core.log
import com.github.michaelbull.result.onFailure
import com.github.michaelbull.result.onSuccess

/** Receives the changes of a mirror, one call per key, and [onBatch] after each batch. */
interface MirrorListener {
    /** [item] was written. */
    fun onPut(item: StoreItem)

    /** [item] was read from a restored store; it may be older than what was passed to this listener before. */
    fun onRestored(item: StoreItem) = onPut(item)

    /** [key] was removed at [revision] or earlier. */
    fun onRemoved(
        key: String,
        revision: Long,
    )

    /** All changes up to [revision] were passed to this listener. */
    fun onBatch(revision: Long)
}

/** Timing of a mirror's watches. */
interface MirrorTiming {
    /** Pause, in milliseconds, after a batch of changes, so that the next watch returns several changes at once. */
    val batchMs: Long

    /** Longest time, in milliseconds, that a watch of the store waits for a change. */
    val waitMs: Long

    /** Longest time, in milliseconds, that a watch at another process waits for a change. */
    val relayWaitMs: Long
}

/** Mirrors all keys of the store. Control thread only. */
class StoreMirror(
    private val context: ControlContext,
    private val listener: MirrorListener,
    private val timing: MirrorTiming,
) : RelayedState {
    private val items = MirroredItems(listener, context.events)
    private val availability = StoreAvailability(context)
    private val loader = StoreLoader(context, availability, ::onLoaded)
    private var lastWatchId = 0L
    private var source: SelectedSource? = null
    private val age = StateAge(context.clock)

    /** Called when a source has said how recent the state is, with or without changes; set before [start]. */
    var onConfirmed: () -> Unit = {}

    /** Selects the source of each watch, the store when null; set before [start]. */
    var relaySelector: RelaySelector? = null

    override var position = StorePosition(0, 0)
        private set

    /** The store's revision up to which all changes are included. */
    val revision: Long get() = position.revision

    override val ageMs: Long? get() = age.ageMs

    override val storeWasUnavailable: Boolean get() = age.sourceLostStore || availability.wasUnavailable

    /** Whether the last request to the store failed. */
    val disconnected: Boolean get() = availability.lost

    /** Whether the mirror was loaded completely at least once. */
    var loaded = false
        private set

    override fun since(from: StorePosition): List<StoreChange>? =
        if (from.era == position.era) items.since(from.revision) else null

    /** Loads all items and then watches for changes. */
    fun start() {
        lastWatchId++
        source = null
        if (loaded) loader.start() else loader.start { relaySelector?.firstSource(it) }
    }

    /** The store was restored; entries that the copy lacks may be written again. */
    fun onNewEra() {
        availability.onRestored()
        start()
    }

    /** The mirrored item at [key]; null when there is none. */
    fun find(key: String): StoreItem? = items.find(key)

    /** Selects a source again when the state relayed by another process is too old. */
    fun checkAge() {
        val waiting = source ?: return
        if (waiting.peer != null && !waiting.outdated && relaySelector?.isTooOld(ageMs) == true) watch()
    }

    private fun onLoaded(read: LoadedItems) {
        position = read.at
        items.replace(read.items, read.at)
        age.onLoaded(read.ageMs)
        loaded = true
        listener.onBatch(revision)
        watch()
    }

    /** Watches for changes, unless a watch or a load was started since [expectedId] was the last watch. */
    private fun watch(expectedId: Long = lastWatchId) {
        if (expectedId != lastWatchId) return
        val selected = relaySelector?.next(ageMs) ?: SelectedSource(StoreChangeSource(context.store))
        val id = ++lastWatchId
        source = selected
        val poll = RelayPoll(position, waitMs(selected), selected.outdated, context.settings.dataCentre)
        selected.source.changes(poll) { result ->
            if (id == lastWatchId) {
                source = null
                result.onSuccess { onChanges(selected, it) }.onFailure { onWatchError(selected, it) }
            }
        }
        val timeoutMs = selected.timeoutMs ?: return
        context.scheduler.after(timeoutMs) {
            if (id == lastWatchId && source === selected) {
                relaySelector?.onNoResponse()
                watch()
            }
        }
    }

    private fun waitMs(from: SelectedSource) =
        when {
            from.outdated -> from.waitMs
            from.peer != null -> timing.relayWaitMs
            relaySelector?.isTooOld(ageMs) == true -> 0
            disconnected -> RECOVERY_WATCH_WAIT_MS
            else -> timing.waitMs
        }

    private fun onChanges(
        from: SelectedSource,
        received: ChangeBatch,
    ) {
        val id = lastWatchId
        val peer = from.peer
        if (peer != null && received.era != position.era) {
            context.events.log("relay.other_era", "source" to peer, "era" to received.era, "position" to position)
            onWatchError(from, StoreError.HistoryGone)
            return
        }
        if (peer == null) availability.onAnswer() else relaySelector?.onAnswered()
        // Leases may have expired while no source had a recent state, whatever the first one that has it knows.
        val outdated = relaySelector?.isTooOld(ageMs) == true
        if (outdated && age.sourceLostStore && !received.storeWasUnavailable) availability.onRestored()
        age.onConfirmed(received)
        val batch = received.changes
        batch.changes.forEach(items::apply)
        position = position.copy(revision = maxOf(revision, batch.at))
        if (batch.changes.isNotEmpty()) listener.onBatch(revision)
        onConfirmed()
        context.scheduler.after(if (batch.changes.isEmpty()) 0 else timing.batchMs) { watch(id) }
    }

    private fun onWatchError(
        from: SelectedSource,
        error: StoreError,
    ) {
        val id = lastWatchId
        val peer = from.peer
        if (peer != null) {
            relaySelector?.onFailed(peer, error)
            val pauseMs = if (relaySelector?.isTooOld(ageMs) == true) PEER_RETRY_MS else 0
            context.scheduler.after(pauseMs) { watch(id) }
        } else if (error is StoreError.HistoryGone || error is StoreError.TooLong) {
            context.events.log("store.history_gone", "position" to position, "cause" to error)
            start()
        } else if (relaySelector?.onStoreFailed(ageMs) == true) {
            availability.onError(error)
            watch()
        } else {
            availability.onError(error) { watch(id) }
        }
    }

    private companion object {
        /**
         * Longest wait of a watch of the store after a failed request, until it answers again: a request sent while the
         * store did not respond may never be answered.
         */
        const val RECOVERY_WATCH_WAIT_MS = 300L

        /**
         * Pause after a process that could not be asked while the state is too old, until the next one is asked:
         * processes that are gone refuse connections at once.
         */
        const val PEER_RETRY_MS = 100L
    }
}
