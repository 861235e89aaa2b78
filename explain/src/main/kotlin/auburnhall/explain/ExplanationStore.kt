/*
 * The explanation records that one process holds, its own and copies of others', within a bound on memory and age.
 */
package auburnhall.explain

import auburnhall.core.Clock
import auburnhall.core.Deadline
import auburnhall.core.Explanation
import auburnhall.core.RequestId
import auburnhall.core.deadlineIn
import kotlinx.serialization.SerializationException
import kotlinx.serialization.json.Json

/** The JSON form in which records are held and passed between processes. */
object ExplanationJson {
    private val json = Json { ignoreUnknownKeys = true }

    /** Encodes [explanation] as UTF-8 text. */
    fun encode(explanation: Explanation): ByteArray =
        json.encodeToString(Explanation.serializer(), explanation).toByteArray()

    /** Decodes what [encode] returned; null when [bytes] are not a record. */
    fun decode(bytes: ByteArray): Explanation? =
        try {
            json.decodeFromString(Explanation.serializer(), bytes.decodeToString())
        } catch (_: SerializationException) {
            null
        }
}

/**
 * Holds records for [keptMillis]. Once more than [limitBytes] are held, the oldest go first. Any thread may call it; no
 * call blocks for longer than it takes to copy the ids.
 */
class ExplanationStore(
    private val clock: Clock,
    private val limitBytes: Long = LIMIT_BYTES,
    private val keptMillis: Long = KEPT_MILLIS,
) {
    private class Held(
        val json: ByteArray,
        val until: Deadline,
    ) {
        val cost: Long get() = json.size + OVERHEAD_BYTES
    }

    private val lock = Any()
    private val held = LinkedHashMap<RequestId, Held>()
    private var bytes = 0L

    /** Records held now. */
    val size: Int get() = synchronized(lock) { held.size }

    /** Bytes reckoned for the records held now; never more than the limit. */
    val heldBytes: Long get() = synchronized(lock) { bytes }

    /** Holds [explanation]; a record of the same request takes the place of the one before. */
    fun keep(explanation: Explanation) {
        val record = Held(ExplanationJson.encode(explanation), clock.deadlineIn(keptMillis))
        if (record.cost > limitBytes) return
        synchronized(lock) {
            held.remove(explanation.requestId)?.let { bytes -= it.cost }
            held[explanation.requestId] = record
            bytes += record.cost
            trim()
        }
    }

    /** The record of [requestId], if it is held here. */
    fun find(requestId: RequestId): Explanation? {
        val record =
            synchronized(lock) {
                trim()
                held[requestId]
            }
        return record?.let { ExplanationJson.decode(it.json) }
    }

    /** The requests of which records are held, oldest first. */
    fun ids(): List<RequestId> =
        synchronized(lock) {
            trim()
            held.keys.toList()
        }

    private fun trim() {
        val now = clock.monotonicMillis()
        val oldest = held.values.iterator()
        while (oldest.hasNext()) {
            val record = oldest.next()
            if (bytes <= limitBytes && !record.until.hasPassed(now)) return
            oldest.remove()
            bytes -= record.cost
        }
    }

    private companion object {
        const val KEPT_MILLIS = 3_600_000L
        const val LIMIT_BYTES = 16L * 1024 * 1024

        /** Memory of one record beside its text: the key, the map's node and the objects' heads. */
        const val OVERHEAD_BYTES = 200L
    }
}
