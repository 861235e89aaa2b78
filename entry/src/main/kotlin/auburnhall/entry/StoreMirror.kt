/*
 * A copy of the store, kept current by its changes, which come from the store or from another process that has them.
 */
package auburnhall.entry

import auburnhall.core.StoreChange
import auburnhall.core.StoreError
import auburnhall.core.StoreItem
import auburnhall.core.StorePage
import auburnhall.core.log
import com.github.michaelbull.result.onFailure
import com.github.michaelbull.result.onSuccess

/** Told of changes of a mirror, after each batch as a whole. */
interface MirrorListener {
    /** [item] was written. */
    fun onPut(item: StoreItem)

    /** [key] was removed at [revision] or before. */
    fun onRemoved(
        key: String,
        revision: Long,
    )

    /** All changes up to [revision] were told. */
    fun onBatch(revision: Long)
}

/** How a mirror asks for changes. */
interface MirrorTiming {
    /** Time, in milliseconds, within which changes are collected to be asked for at once. */
    val batchMs: Long

    /** Longest time, in milliseconds, between two answers of the store. */
    val waitMs: Long
}

/** Mirrors all keys. Control thread only. */
class StoreMirror(
    private val context: ControlContext,
    private val listener: MirrorListener,
    private val timing: MirrorTiming,
) : RelayedState {
    private val items = MirroredItems(listener)
    private val contact = StoreAvailability(context)
    private var question = 0L
    private var source: ChangeSource? = null
    private var currentAt: Long? = null
    private var toldAway = false

    /** Chooses where changes come from; set before [start]. */
    var relays: RelaySelector? = null

    override var revision = 0L
        private set

    override val ageMs: Long? get() = currentAt?.let { context.clock.nowMs() - it }

    override val storeWasAway: Boolean get() = toldAway || contact.wasAway

    /** Whether the last call to the store failed. */
    val disconnected: Boolean get() = contact.lost

    /** Whether the mirror was filled once. */
    var loaded = false
        private set

    override fun since(revision: Long): List<StoreChange>? = items.since(revision)

    /** Begins to fill the mirror. */
    fun start() = loadPage(null, LinkedHashMap(), null)

    /** The mirrored item at [key]. */
    fun find(key: String): StoreItem? = items.find(key)

    /** Asks the store itself once what another process tells is too old. */
    fun checkAge() {
        val peer = source?.peer ?: return
        val age = ageMs ?: 0
        if (age > RelayServer.OLDEST_MS) {
            relays?.onFailed(peer, "changes are $age ms old")
            watch()
        }
    }

    private fun loadPage(
        after: String?,
        collected: LinkedHashMap<String, StoreItem>,
        firstAt: Long?,
    ) {
        context.store.range("", after) { result ->
            result
                .onSuccess { onPage(it, collected, firstAt ?: it.at) }
                .onFailure { contact.onError(it) { start() } }
        }
    }

    private fun onPage(
        page: StorePage,
        collected: LinkedHashMap<String, StoreItem>,
        firstAt: Long,
    ) {
        contact.onAnswer()
        page.items.associateByTo(collected) { it.key }
        if (page.hasMore && page.items.isNotEmpty()) {
            loadPage(page.items.last().key, collected, firstAt)
            return
        }
        items.replace(collected, firstAt)
        revision = firstAt
        currentAt = context.clock.nowMs()
        loaded = true
        listener.onBatch(revision)
        watch()
    }

    private fun watch() {
        val asked = relays?.next(ageMs) ?: StoreChangeSource(context.store)
        val number = ++question
        source = asked
        asked.changes(revision, waitMs(asked)) { result ->
            if (number == question) {
                source = null
                result.onSuccess { onChanges(asked, it) }.onFailure { onWatchError(asked, it) }
            }
        }
    }

    private fun waitMs(asked: ChangeSource) =
        when {
            asked.peer != null -> RELAY_WAIT_MS
            disconnected -> RECOVERY_WAIT_MS
            else -> timing.waitMs
        }

    private fun onChanges(
        from: ChangeSource,
        told: ChangeBatch,
    ) {
        if (from.peer == null) contact.onAnswer()
        toldAway = told.storeWasAway
        currentAt = context.clock.nowMs() - told.ageMs
        val batch = told.changes
        batch.changes.forEach(items::apply)
        revision = maxOf(revision, batch.at)
        if (batch.changes.isNotEmpty()) listener.onBatch(revision)
        context.scheduler.after(if (batch.changes.isEmpty()) 0 else timing.batchMs) { watch() }
    }

    private fun onWatchError(
        from: ChangeSource,
        error: StoreError,
    ) {
        val peer = from.peer
        if (peer != null) {
            relays?.onFailed(peer, error)
            watch()
        } else if (error is StoreError.HistoryGone) {
            context.events.log("store.history_gone", "revision" to revision)
            start()
        } else {
            contact.onError(error) { watch() }
        }
    }

    private companion object {
        /** Longest time between two answers of another process: ages add up from level to level of the tree. */
        const val RELAY_WAIT_MS = 200L

        /** As above until the store has answered again: a call that began while it was silent may never be answered. */
        const val RECOVERY_WAIT_MS = 300L
    }
}
