/*
 * One segment of a shard as it stands in the store: a line of JSON about the owner, then one line for each record.
 */
package auburnhall.ledger

import auburnhall.core.ProcessId
import auburnhall.store.ABSENT
import auburnhall.store.Keys
import auburnhall.store.StoreEntry
import kotlinx.serialization.Serializable
import kotlinx.serialization.SerializationException
import kotlinx.serialization.json.Json

/**
 * Who wrote a segment last.
 *
 * @property epoch rises whenever another process takes the shard over.
 * @property commit differs between any two writes, so that a writer recognises its own.
 * @property closed whether the next commit begins another segment.
 */
@Serializable
internal data class SegmentHeader(
    val owner: ProcessId,
    val epoch: Long,
    val commit: String,
    val closed: Boolean = false,
)

/** A segment. [lines] holds the last record of each key in it, as JSON. */
internal data class SegmentDocument(
    val header: SegmentHeader,
    val lines: Map<IntentKey, String>,
) {
    fun encode(): ByteArray {
        val text = StringBuilder(JSON.encodeToString(header))
        lines.values.forEach { text.append('\n').append(it) }
        return text.toString().encodeToByteArray()
    }

    /** About how many bytes [encode] gives. */
    val sizeBytes: Int get() = HEADER_BYTES + lines.values.sumOf { it.length + 1 }

    fun records(): List<IntentRecord> = lines.values.map { JSON.decodeFromString(it) }

    companion object {
        private const val HEADER_BYTES = 128
        private val JSON = Json { ignoreUnknownKeys = true }

        fun lineOf(record: IntentRecord): String = JSON.encodeToString(record)

        /** Throws [SerializationException] when [bytes] is not a segment. */
        fun decode(bytes: ByteArray): SegmentDocument {
            val text = bytes.decodeToString().split('\n')
            val lines = LinkedHashMap<IntentKey, String>()
            text.drop(1).forEach { lines[JSON.decodeFromString<IntentRecord>(it).key] = it }
            return SegmentDocument(JSON.decodeFromString(text.first()), lines)
        }

        /** The commit that wrote [entry]. */
        fun commitOf(entry: StoreEntry): String {
            val header = entry.value.decodeToString().substringBefore('\n')
            return JSON.decodeFromString<SegmentHeader>(header).commit
        }
    }
}

/** A segment with its place in the store. [revision] is [ABSENT] as long as it is not there. */
internal data class Segment(
    val number: Long,
    val revision: Long,
    val document: SegmentDocument,
)

/** Keys of the segments; numbers are zero-padded so that keys sort by number. */
internal object SegmentKeys {
    private const val DIGITS = 12

    fun prefix(shard: Int): String = "${Keys.LEDGER}$shard/"

    fun of(
        shard: Int,
        number: Long,
    ): String = prefix(shard) + number.toString().padStart(DIGITS, '0')

    fun number(key: String): Long = key.substringAfterLast('/').toLong()
}
