/*
 * The items of the mirrored store, with the history of recent changes.
 */
package auburnhall.entry

import auburnhall.core.StoreChange
import auburnhall.core.StoreItem

/** Holds the items and notifies [listener] of changes. Control thread only. */
class MirroredItems(
    private val listener: MirrorListener,
) {
    private val items = HashMap<String, StoreItem>()
    private val history = ChangeHistory()

    /** The item at [key]; null when there is none. */
    fun find(key: String): StoreItem? = items[key]

    /** The changes after [revision]; null when the history no longer holds all of them. */
    fun since(revision: Long): List<StoreChange>? = history.since(revision)

    /** Replaces all items by [read]: those of the store at [revision], where later changes may be included. */
    fun replace(
        read: Map<String, StoreItem>,
        revision: Long,
    ) {
        (items.keys - read.keys).forEach { remove(it, revision) }
        read.values.filter { it.revision != items[it.key]?.revision }.forEach(::put)
        history.restart(revision)
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
        listener.onPut(item)
    }

    private fun remove(
        key: String,
        revision: Long,
    ) {
        if (items.remove(key) != null) listener.onRemoved(key, revision)
    }
}
