/*
 * The items of the mirrored store, with the history of recent changes.
 */
package auburnhall.entry

import auburnhall.core.EventListener
import auburnhall.core.StoreChange
import auburnhall.core.StoreItem
import auburnhall.core.StorePosition
import auburnhall.core.log

/**
 * Holds the items and notifies [listener] of changes. When [listener] throws for an item, that is logged, and the other
 * items are processed nevertheless. Control thread only.
 */
class MirroredItems(
    private val listener: MirrorListener,
    private val events: EventListener,
) {
    private val items = HashMap<String, StoreItem>()
    private val history = ChangeHistory()
    private var era: Long? = null

    /** The item at [key]; null when there is none. */
    fun find(key: String): StoreItem? = items[key]

    /** The changes after [revision]; null when the history no longer holds all of them. */
    fun since(revision: Long): List<StoreChange>? = history.since(revision)

    /** Replaces all items by [read]: those of the store at [position], where later changes may be included. */
    fun replace(
        read: Map<String, StoreItem>,
        position: StorePosition,
    ) {
        val restored = era?.let { it != position.era } == true
        era = position.era
        (items.keys - read.keys).forEach { remove(it, position.revision) }
        if (restored) {
            read.values.forEach(::putRestored)
        } else {
            read.values.filter { it.revision != items[it.key]?.revision }.forEach(::put)
        }
        history.restart(position.revision)
    }

    private fun putRestored(item: StoreItem) {
        items[item.key] = item
        notifyOf(item.key) { listener.onRestored(item) }
    }

    /** Applies [change] and adds it to the history. */
    fun apply(change: StoreChange) {
        history.add(change)
        when (change) {
            is StoreChange.Put -> put(change.item)
            is StoreChange.Removed -> remove(change.key, change.revision)
        }
    }

    private fun put(item: StoreItem) {
        items[item.key] = item
        notifyOf(item.key) { listener.onPut(item) }
    }

    private fun remove(
        key: String,
        revision: Long,
    ) {
        if (items.remove(key) != null) notifyOf(key) { listener.onRemoved(key, revision) }
    }

    private fun notifyOf(
        key: String,
        notification: () -> Unit,
    ) {
        runCatching(notification).onFailure { events.log("store.item_failed", "key" to key, "cause" to it) }
    }
}
