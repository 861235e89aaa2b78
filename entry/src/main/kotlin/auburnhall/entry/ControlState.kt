/*
 * The control keys as last reported, kept so that a controller created later can be told of them.
 */
package auburnhall.entry

import auburnhall.core.AssignmentTable
import auburnhall.core.DrainList
import auburnhall.core.DrainRequest
import auburnhall.store.ControlFeedListener
import auburnhall.store.Keys
import auburnhall.store.StoreEntry
import kotlinx.serialization.json.Json
import org.tinylog.kotlin.Logger
import java.util.TreeMap

/** A control-thread object. */
internal class ControlState : ControlFeedListener {
    private val entries = TreeMap<String, StoreEntry>()

    /** Whether a snapshot has been seen. */
    var isReady = false
        private set

    fun entries(): List<StoreEntry> = entries.values.toList()

    /** Every assignment table; one that cannot be read is left out. */
    fun tables(): List<AssignmentTable> =
        entries.tailMap(Keys.ASSIGNMENTS).values.filter { it.key.startsWith(Keys.ASSIGNMENTS) }.mapNotNull {
            decode<AssignmentTable>(it)
        }

    /** The drain requests in force. */
    fun drains(): List<DrainRequest> = entries[Keys.DRAINS]?.let { decode<DrainList>(it) }?.drains.orEmpty()

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

    private inline fun <reified T> decode(entry: StoreEntry): T? =
        try {
            JSON.decodeFromString<T>(entry.value.decodeToString())
        } catch (e: IllegalArgumentException) {
            Logger.error(e, "the value of {} cannot be read", entry.key)
            null
        }

    private companion object {
        val JSON = Json { ignoreUnknownKeys = true }
    }
}
