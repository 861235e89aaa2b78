/*
 * The operators' drain list in the platform's store.
 */
package auburnhall.config

import auburnhall.core.DrainList
import auburnhall.core.DrainRequest
import auburnhall.store.ABSENT
import auburnhall.store.Keys
import auburnhall.store.ReadResult
import auburnhall.store.WriteResult
import kotlinx.serialization.json.Json

/** Reads and changes the drain list. Blocks. */
internal class DrainStore(
    private val on: ChangeDependencies,
) {
    private data class Held(
        val drains: List<DrainRequest>,
        val revision: Long,
    )

    /** The requests in force. */
    fun read(): OperatorRead<List<DrainRequest>> =
        when (val read = on.store.get(Keys.DRAINS)) {
            is ReadResult.Error -> OperatorRead.Error(read.message)
            is ReadResult.Success -> OperatorRead.Success(held(read).drains)
        }

    /** Replaces the list by what [edit] makes of it. A lost answer is followed by another attempt: it does no harm. */
    fun change(edit: (List<DrainRequest>) -> List<DrainRequest>): DrainResult {
        repeat(MAX_ATTEMPTS) {
            attempt(edit)?.let { return it }
            on.pause.forMillis(RETRY_MILLIS)
        }
        return DrainResult.Error("no answer from the store")
    }

    private fun attempt(edit: (List<DrainRequest>) -> List<DrainRequest>): DrainResult? {
        val read = on.store.get(Keys.DRAINS) as? ReadResult.Success ?: return null
        val held = held(read)
        val next = DrainList(edit(held.drains))
        val value = JSON.encodeToString(DrainList.serializer(), next).encodeToByteArray()
        val written = on.store.compareAndSwap(Keys.DRAINS, held.revision, value)
        return if (written is WriteResult.Success) DrainResult.Success(next.drains) else null
    }

    private fun held(read: ReadResult.Success): Held {
        val entry = read.entries.firstOrNull() ?: return Held(emptyList(), ABSENT)
        return Held(JSON.decodeFromString(DrainList.serializer(), entry.value.decodeToString()).drains, entry.revision)
    }

    private companion object {
        const val MAX_ATTEMPTS = 5
        const val RETRY_MILLIS = 300L
        val JSON = Json { ignoreUnknownKeys = true }
    }
}
