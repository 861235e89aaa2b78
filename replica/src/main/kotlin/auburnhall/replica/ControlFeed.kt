/*
 * The assignment tables and the drain list as told by the control feed, newest revision of each.
 */
package auburnhall.replica

import auburnhall.core.AssignmentTable
import auburnhall.core.DataCentreId
import auburnhall.core.DrainList
import auburnhall.core.InstanceId
import auburnhall.store.Keys
import auburnhall.store.StoreEntry
import kotlinx.serialization.SerializationException
import kotlinx.serialization.json.Json
import org.tinylog.kotlin.Logger

/** Reads and writes the stored form of tables and drain lists. */
internal object TableCodec {
    private val json = Json { ignoreUnknownKeys = true }

    fun encode(table: AssignmentTable): ByteArray = json.encodeToString(table).encodeToByteArray()

    /** Null when [value] is not a table. */
    fun table(value: ByteArray): AssignmentTable? =
        decode { json.decodeFromString<AssignmentTable>(value.decodeToString()) }

    /** Null when [value] is not a drain list. */
    fun drains(value: ByteArray): DrainList? = decode { json.decodeFromString<DrainList>(value.decodeToString()) }

    private fun <T> decode(read: () -> T): T? =
        try {
            read()
        } catch (e: SerializationException) {
            Logger.error(e, "a value under the control keys cannot be read")
            null
        } catch (e: IllegalArgumentException) {
            Logger.error(e, "a value under the control keys is not valid")
            null
        }
}

/** A table and the revision under which the store holds it. */
internal data class StoredTable(
    val table: AssignmentTable,
    val revision: Long,
)

/** Is told of the keys under [Keys.CONTROL], on the control thread. */
interface ControlKeyListener {
    /** All keys, read anew; what is missing from [entries] was deleted. */
    fun onSnapshot(entries: List<StoreEntry>)

    /** One key was written. */
    fun onPut(entry: StoreEntry)

    /** One key was deleted. */
    fun onDelete(key: String)
}

/** Keeps the newest table of each data centre and the newest drain list. Used on the control thread only. */
internal class ControlFeed : ControlKeyListener {
    private val tables = HashMap<DataCentreId, StoredTable>()
    private var drains = DrainList()
    private var drainsRevision = 0L

    /** Called whenever something has changed. */
    var onChange: () -> Unit = {}

    /** Whether a snapshot has been seen; before, an absent table means nothing. */
    var isReady = false
        private set

    override fun onSnapshot(entries: List<StoreEntry>) {
        val keys = entries.map { it.key }.toSet()
        tables.keys.filter { Keys.assignment(it) !in keys }.forEach { tables.remove(it) }
        if (Keys.DRAINS !in keys) drains = DrainList()
        entries.forEach { put(it) }
        isReady = true
        onChange()
    }

    override fun onPut(entry: StoreEntry) {
        put(entry)
        onChange()
    }

    override fun onDelete(key: String) {
        if (key == Keys.DRAINS) drains = DrainList()
        if (key.startsWith(Keys.ASSIGNMENTS)) tables.remove(DataCentreId(key.removePrefix(Keys.ASSIGNMENTS)))
        onChange()
    }

    /** The newest table of [dataCentre] and its revision; null when there is none. */
    fun stored(dataCentre: DataCentreId): StoredTable? = tables[dataCentre]

    /** The newest table of every data centre. */
    fun tables(): Map<DataCentreId, AssignmentTable> = tables.mapValues { it.value.table }

    /** Instances that operators want left alone. */
    fun drained(): Set<InstanceId> = drains.drains.map { it.instance }.toSet()

    private fun put(entry: StoreEntry) {
        if (entry.key == Keys.DRAINS && entry.revision > drainsRevision) putDrains(entry)
        if (entry.key.startsWith(Keys.ASSIGNMENTS)) putTable(entry)
    }

    private fun putDrains(entry: StoreEntry) {
        drains = TableCodec.drains(entry.value) ?: return
        drainsRevision = entry.revision
    }

    private fun putTable(entry: StoreEntry) {
        val table = TableCodec.table(entry.value) ?: return
        val known = tables[table.dataCentre]
        if (known == null || known.revision < entry.revision) {
            tables[table.dataCentre] = StoredTable(table, entry.revision)
        }
    }
}
