/*
 * The control keys as last reported, kept so that a controller created later can be told of them.
 */
package auburnhall.entry

import auburnhall.store.ControlFeedListener
import auburnhall.store.StoreEntry
import java.util.TreeMap

/** A control-thread object. */
internal class ControlState : ControlFeedListener {
    private val entries = TreeMap<String, StoreEntry>()

    /** Whether a snapshot has been seen. */
    var isReady = false
        private set

    fun entries(): List<StoreEntry> = entries.values.toList()

    fun value(key: String): ByteArray? = entries[key]?.value

    override fun onSnapshot(
        entries: List<StoreEntry>,
        storeRevision: Long,
    ) {
        this.entries.clear()
        entries.forEach { this.entries[it.key] = it }
        isReady = true
    }

    override fun onPut(entry: StoreEntry) {
        entries[entry.key] = entry
    }

    override fun onDelete(key: String) {
        entries.remove(key)
    }

    override fun onLost(message: String) = Unit
}
