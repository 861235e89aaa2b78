/*
 * Keeps the quarantined parts in the store, so that they outlive the processes: the controller writes what the
 * processes have found, every process reads it with its first copy of the store. An operator serves a part again by
 * removing its key.
 */
package auburnhall.entry

import auburnhall.core.StoreItem
import auburnhall.core.StoreTransaction
import auburnhall.core.log
import auburnhall.routing.PromptPart
import auburnhall.routing.QuarantinedPart
import com.github.michaelbull.result.onFailure
import kotlinx.serialization.Serializable
import kotlinx.serialization.SerializationException
import kotlinx.serialization.json.Json
import java.time.Instant

/** Receives the quarantined parts as read from the store; called on the control thread. */
interface QuarantineListener {
    /** The store holds the quarantine of [part]. */
    fun onQuarantined(part: QuarantinedPart)

    /** The quarantine of [part] was removed from the store. */
    fun onReleased(part: PromptPart)
}

/** The value of a record; times are Unix milliseconds. */
@Serializable
internal data class QuarantineRecord(
    val crashes: Int,
    val since: Long,
    val until: Long,
    val servedBefore: Boolean = false,
)

/** Reads and writes the records of quarantined parts. Control thread only. */
class QuarantineRecords(
    private val context: ControlContext,
    private val listener: QuarantineListener,
    /** Current time in Unix milliseconds. */
    private val unixMs: () -> Long = { Instant.now().toEpochMilli() },
) {
    private val stored = HashMap<PromptPart, QuarantineRecord>()
    private var current: Map<PromptPart, QuarantineRecord> = emptyMap()
    private var nextWriteAtMs = 0L

    /** Replaces the parts that the processes have quarantined by [parts]. */
    fun onSnapshot(parts: List<QuarantinedPart>) {
        val toUnixMs = unixMs() - context.clock.nowMs()
        current =
            parts.associate {
                it.part to QuarantineRecord(it.crashes, it.sinceMs + toUnixMs, it.untilMs + toUnixMs, it.servedBefore)
            }
    }

    /** [item] was written below [KEY_PREFIX]. */
    fun onPut(item: StoreItem) {
        val part = PromptPart(item.key.removePrefix(KEY_PREFIX))
        val record =
            try {
                Json.decodeFromString(QuarantineRecord.serializer(), String(item.value))
            } catch (e: SerializationException) {
                context.events.log("part.record_unreadable", "key" to item.key, "cause" to e.message)
                return
            }
        stored[part] = record
        val fromUnixMs = context.clock.nowMs() - unixMs()
        val sinceMs = record.since + fromUnixMs
        val untilMs = record.until + fromUnixMs
        listener.onQuarantined(QuarantinedPart(part, record.crashes, sinceMs, untilMs, record.servedBefore))
    }

    /**
     * The store was restored. Records that the copy lacks were not removed by an operator: their parts stay
     * quarantined, and the records are written again.
     */
    fun onNewEra() {
        stored.clear()
        nextWriteAtMs = 0
    }

    /** The item at [key], below [KEY_PREFIX], was removed. */
    fun onRemoved(key: String) {
        val part = PromptPart(key.removePrefix(KEY_PREFIX))
        if (stored.remove(part) == null) return
        current = current - part
        listener.onReleased(part)
    }

    /** Writes what the store lacks and removes what has expired; called periodically by the controller. */
    fun write() {
        val now = context.clock.nowMs()
        if (now < nextWriteAtMs) return
        val missing = current.filter { (part, record) -> isNews(record, stored[part]) }.entries.take(MAX_WRITES)
        val expired = stored.filterValues { it.until <= unixMs() }.keys - current.keys
        if (missing.isEmpty() && expired.isEmpty()) return
        nextWriteAtMs = now + WRITE_PERIOD_MS
        val puts =
            missing.map { (part, record) ->
                val value = Json.encodeToString(QuarantineRecord.serializer(), record)
                StoreTransaction.Put(KEY_PREFIX + part.id, value.toByteArray(), NO_LEASE)
            }
        val removes = expired.take(MAX_WRITES - puts.size).map { KEY_PREFIX + it.id }
        context.store.commit(StoreTransaction(emptyMap(), puts, removes)) { result ->
            result.onFailure { context.events.log("part.write_failed", "parts" to puts.size, "error" to it) }
        }
    }

    private fun isNews(
        record: QuarantineRecord,
        known: QuarantineRecord?,
    ) = known == null || record.until - known.until > REWRITE_AFTER_MS

    companion object {
        /** The key of a record is this prefix followed by the ID of the part. */
        const val KEY_PREFIX = "auburnhall/quarantine/"
        private const val NO_LEASE = 0L

        /** Entries in one transaction of the store. */
        private const val MAX_WRITES = 32

        /** Time until a write is tried again, or what has changed since is written. */
        private const val WRITE_PERIOD_MS = 1_000L

        /** A record is written again when requests with the part have moved its end by this much. */
        private const val REWRITE_AFTER_MS = 300_000L
    }
}
