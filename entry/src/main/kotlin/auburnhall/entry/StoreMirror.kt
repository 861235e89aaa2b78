/*
 * A copy of the part of the store under one prefix, kept current by a watch.
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

/** Mirrors the keys under [prefix]. Control thread only. */
class StoreMirror(
    private val prefix: String,
    private val parts: ControlParts,
    private val listener: MirrorListener,
    /** Time, in milliseconds, within which changes are collected to be fetched by one call. */
    private val batchMs: () -> Long,
) {
    private val items = HashMap<String, StoreItem>()
    private var revision = 0L
    private var failures = 0
    private var lostAt: Long? = null

    /** When the store last came back after calls failed; null when they never did. */
    var regainedAt: Long? = null
        private set

    /** Whether the last call to the store failed. */
    val disconnected: Boolean get() = lostAt != null

    /** Whether the mirror was filled once. */
    var loaded = false
        private set

    /** Begins to fill the mirror. */
    fun start() = loadPage(null, LinkedHashMap(), null)

    /** The mirrored item at [key]. */
    fun find(key: String): StoreItem? = items[key]

    private fun loadPage(
        after: String?,
        collected: LinkedHashMap<String, StoreItem>,
        firstAt: Long?,
    ) {
        parts.store.range(prefix, after) { result ->
            result
                .onSuccess { onPage(it, collected, firstAt ?: it.at) }
                .onFailure { onError(it) { start() } }
        }
    }

    private fun onPage(
        page: StorePage,
        collected: LinkedHashMap<String, StoreItem>,
        firstAt: Long,
    ) {
        onContact()
        page.items.associateByTo(collected) { it.key }
        if (page.hasMore && page.items.isNotEmpty()) {
            loadPage(page.items.last().key, collected, firstAt)
            return
        }
        val gone = items.keys - collected.keys
        gone.forEach { remove(it, firstAt) }
        collected.values.filter { it.revision != items[it.key]?.revision }.forEach(::put)
        revision = firstAt
        loaded = true
        listener.onBatch(revision)
        watch()
    }

    private fun watch() {
        val waitMs = if (disconnected) RECOVERY_WATCH_MS else WATCH_MS
        parts.store.watch(prefix, revision, waitMs) { result ->
            result
                .onSuccess { batch ->
                    onContact()
                    batch.changes.forEach {
                        when (it) {
                            is StoreChange.Put -> put(it.item)
                            is StoreChange.Removed -> remove(it.key, it.revision)
                        }
                    }
                    revision = maxOf(revision, batch.at)
                    if (batch.changes.isNotEmpty()) listener.onBatch(revision)
                    parts.scheduler.after(if (batch.changes.isEmpty()) 0 else batchMs()) { watch() }
                }.onFailure(::onWatchError)
        }
    }

    private fun onWatchError(error: StoreError) {
        if (error is StoreError.HistoryGone) {
            parts.events.log("store.history_gone", "prefix" to prefix, "revision" to revision)
            start()
        } else {
            onError(error) { watch() }
        }
    }

    private fun put(item: StoreItem) {
        items[item.key] = item
        listener.onPut(item)
    }

    private fun remove(
        key: String,
        revision: Long,
    ) {
        if (items.remove(key) != null) listener.onRemoved(key, revision)
    }

    private fun onContact() {
        failures = 0
        val since = lostAt ?: return
        lostAt = null
        regainedAt = parts.clock.nowMs()
        parts.events.log("store.regained", "prefix" to prefix, "after_ms" to parts.clock.nowMs() - since)
    }

    private fun onError(
        error: StoreError,
        again: () -> Unit,
    ) {
        if (lostAt == null) {
            lostAt = parts.clock.nowMs()
            parts.events.log("store.lost", "prefix" to prefix, "error" to error)
        }
        val pause = FIRST_PAUSE_MS shl failures.coerceAtMost(MAX_DOUBLINGS)
        failures++
        parts.scheduler.after(pause + parts.random.nextLong(pause)) { again() }
    }

    private companion object {
        /** A watch returns at least this often, in milliseconds. */
        const val WATCH_MS = 10_000L

        /** As above until the store has answered again: a call that began while it was silent may never be answered. */
        const val RECOVERY_WATCH_MS = 300L

        const val FIRST_PAUSE_MS = 50L
        const val MAX_DOUBLINGS = 3
    }
}
