/*
 * The items of the store as this process knows them.
 */
package auburnhall.entry

import auburnhall.core.StoreChange
import auburnhall.core.StoreItem

/** Holds the items and tells [listener] what changes. Control thread only. */
class MirroredItems(
    private val listener: MirrorListener,
) {
    private val items = HashMap<String, StoreItem>()
    private val history = ChangeHistory()

    /** The item at [key]. */
    fun find(key: String): StoreItem? = items[key]

    /** The changes after [revision]; null when some may have been forgotten. */
    fun since(revision: Long): List<StoreChange>? = history.since(revision)

    /** [read] is all that the store held at [revision], and perhaps later changes. */
    fun replace(
        read: Map<String, StoreItem>,
        revision: Long,
    ) {
        (items.keys - read.keys).forEach { remove(it, revision) }
        read.values.filter { it.revision != items[it.key]?.revision }.forEach(::put)
        history.restart(revision)
    }

    /** Takes [change] over. */
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
