/*
 * The change records of all versions. The record of the newest version is part of the configuration; it is archived
 * before that version is replaced, so no version is ever without one.
 */
package auburnhall.config

import auburnhall.core.ChangeRecord
import auburnhall.store.ABSENT
import auburnhall.store.KeyValueStore
import auburnhall.store.Keys
import auburnhall.store.ReadResult
import auburnhall.store.StoreEntry
import auburnhall.store.WriteResult
import kotlinx.serialization.json.Json

/** Reads and writes archived change records. Blocks. */
internal class AuditTrail(
    private val store: KeyValueStore,
) {
    /** Archives [record]; returns whether it is certainly kept. */
    fun archive(record: ChangeRecord): Boolean {
        val value = Json.encodeToString(ChangeRecord.serializer(), record).encodeToByteArray()
        return when (store.compareAndSwap(Keys.audit(record.version), ABSENT, value)) {
            is WriteResult.Success, is WriteResult.Conflict -> true
            is WriteResult.Unknown, is WriteResult.Refused -> false
        }
    }

    /** The archived records among [versions]; null when the store does not answer. */
    fun records(versions: LongRange): List<ChangeRecord>? =
        versions
            .map { store.get(Keys.audit(it)) as? ReadResult.Success ?: return null }
            .flatMap { it.entries }
            .map { decode(it) }

    /** Every archived record, oldest first. */
    fun all(): OperatorRead<List<ChangeRecord>> =
        when (val result = store.list(Keys.AUDIT)) {
            is ReadResult.Success -> OperatorRead.Success(result.entries.map { decode(it) })
            is ReadResult.Error -> OperatorRead.Error(result.message)
        }

    private fun decode(entry: StoreEntry) =
        Json.decodeFromString(ChangeRecord.serializer(), entry.value.decodeToString())
}
