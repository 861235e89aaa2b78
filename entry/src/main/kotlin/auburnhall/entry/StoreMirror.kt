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
    private val sightings: StoreSightings,
) : RelayedState {
    private val items = MirroredItems(listener, context.events)
    private val availability = StoreAvailability(context, sightings)
    private val loader = StoreLoader(context, availability, ::onLoaded)
    private var lastWatchId = 0L
    private var source: ChangeSource? = null
    private var upToDateAtMs: Long? = null
    private var sourceLostStore = false

    /** Selects the source of each watch, the store when null; set before [start]. */
    var relaySelector: RelaySelector? = null

    override var position = StorePosition(0, 0)
        private set

    /** The store's revision up to which all changes are included. */
    val revision: Long get() = position.revision

    override val ageMs: Long? get() = upToDateAtMs?.let { context.clock.nowMs() - it }

    override val storeWasUnavailable: Boolean get() = expiryUntilMs != null

    /** See [StoreAvailability.expiryUntilMs]; also as the source of the last changes knows it. */
    val expiryUntilMs: Long?
        get() = availability.expiryUntilMs() ?: (context.clock.nowMs() + SOURCE_EXPIRY_MS).takeIf { sourceLostStore }

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
        loader.start()
    }

    /** The store was restored; entries that the copy lacks may be written again. */
    fun onNewEra() {
        availability.onRestored()
        start()
    }

    /** The mirrored item at [key]; null when there is none. */
    fun find(key: String): StoreItem? = items.find(key)

    /** Switches to another source, usually the store, when the state relayed by another process is too old. */
    fun checkAge() {
        availability.update()
        val peer = source?.peer ?: return
        val selector = relaySelector ?: return
        val age = ageMs ?: 0
        if (age > selector.maxAgeMs) {
            selector.onFailed(peer, "relayed state is too old: $age ms")
            watch()
        }
    }

    private fun onLoaded(
        read: Map<String, StoreItem>,
        at: StorePosition,
    ) {
        position = at
        items.replace(read, at)
        upToDateAtMs = context.clock.nowMs()
        loaded = true
        listener.onBatch(revision)
        watch()
    }

    private fun watch() {
        val selected = relaySelector?.next(ageMs) ?: StoreChangeSource(context.store)
        val id = ++lastWatchId
        source = selected
        selected.changes(position, waitMs(selected)) { result ->
            if (id == lastWatchId) {
                source = null
                result.onSuccess { onChanges(selected, it) }.onFailure { onWatchError(selected, it) }
            }
        }
    }

    private fun waitMs(from: ChangeSource) =
        when {
            from.peer != null -> timing.relayWaitMs
            disconnected -> RECOVERY_WATCH_WAIT_MS
            relaySelector?.isTooOld(ageMs) == true -> 0
            else -> timing.waitMs
        }

    private fun onChanges(
        from: ChangeSource,
        received: ChangeBatch,
    ) {
        val peer = from.peer
        if (peer != null && received.era != position.era) {
            relaySelector?.onFailed(peer, "its state is of era ${received.era}, not ${position.era}")
            watch()
            return
        }
        if (peer == null) availability.onAnswer()
        if (peer != null && !received.storeWasUnavailable) availability.onAvailableToOthers()
        sourceLostStore = received.storeWasUnavailable
        upToDateAtMs = (context.clock.nowMs() - received.ageMs).also(sightings::onSeen)
        val batch = received.changes
        batch.changes.forEach(items::apply)
        position = position.copy(revision = maxOf(revision, batch.at))
        if (batch.changes.isNotEmpty()) listener.onBatch(revision)
        context.scheduler.after(if (batch.changes.isEmpty()) 0 else timing.batchMs) { watch() }
    }

    private fun onWatchError(
        from: ChangeSource,
        error: StoreError,
    ) {
        val peer = from.peer
        if (error is StoreError.HistoryGone || error is StoreError.TooLong) {
            context.events.log(
                "store.history_gone",
                "position" to position,
                "source" to (peer ?: "store"),
                "cause" to error,
            )
            start()
        } else if (peer != null) {
            relaySelector?.onFailed(peer, error)
            watch()
        } else {
            availability.onError(error) { watch() }
        }
    }

    private companion object {
        /**
         * Longest wait of a watch of the store after a failed request, until it answers again: a request sent while the
         * store did not respond may never be answered.
         */
        const val RECOVERY_WATCH_WAIT_MS = 300L

        /** The source does not say when the outage ended; live workers register again within about 2 s of that. */
        const val SOURCE_EXPIRY_MS = 2_500L
    }
}
