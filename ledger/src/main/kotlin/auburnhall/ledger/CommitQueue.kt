/*
 * The records of a shard that wait to be kept, and what waits for them.
 */
package auburnhall.ledger

/** What became of a record that was to be kept. */
internal sealed interface AppendResult {
    /** It is in the store, last in [segment]. */
    data class Kept(
        val segment: Long,
    ) : AppendResult

    /** It is certain that the store does not hold it. */
    data class Refused(
        val message: String,
    ) : AppendResult

    /** Another process owns the shard and may have received the record with it. */
    data object NotOwner : AppendResult
}

/** A record to be kept; it is left out if [isWanted] no longer holds when its commit begins. */
internal class Append(
    val record: IntentRecord,
    val isWanted: () -> Boolean,
    val onResult: (AppendResult) -> Unit,
) {
    /** Run once it is settled whether the record is kept. */
    val followUps = ArrayList<() -> Unit>()

    val line = SegmentDocument.lineOf(record)
}

/** Holds at most one [Append] of a key. */
internal class CommitQueue {
    private val waiting = ArrayList<Append>()
    private var inFlight = emptyList<Append>()

    val isEmpty: Boolean get() = waiting.isEmpty()

    fun add(append: Append) {
        if (waiting.size >= MAX_WAITING) dropUnwanted()
        if (waiting.size < MAX_WAITING) {
            waiting += append
        } else {
            append.onResult(AppendResult.Refused("too many records wait for the store"))
        }
    }

    /** The record of [key] that is not yet settled. */
    fun find(key: IntentKey): Append? = (inFlight + waiting).firstOrNull { it.record.key == key }

    /** Takes out the records of the next commit, oldest first. */
    fun takeBatch(): List<Append> {
        dropUnwanted()
        var bytes = 0
        val batch =
            waiting.takeWhile {
                val fits = bytes < LedgerSizes.BATCH_BYTES
                bytes += it.line.length
                fits
            }
        waiting.subList(0, batch.size).clear()
        inFlight = batch
        return batch
    }

    /** Tells those of the commit in flight what became of it. */
    fun settleBatch(result: AppendResult) {
        val batch = inFlight
        inFlight = emptyList()
        settle(batch, result)
    }

    /** Tells all that the shard belongs to another process. */
    fun settleAll() {
        val all = inFlight + waiting
        inFlight = emptyList()
        waiting.clear()
        settle(all, AppendResult.NotOwner)
    }

    private fun dropUnwanted() {
        val unwanted = waiting.filterNot { it.isWanted() }
        waiting.removeAll(unwanted.toSet())
        unwanted.forEach { runFollowUps(it) }
    }

    private fun settle(
        appends: List<Append>,
        result: AppendResult,
    ) {
        appends.forEach { it.onResult(result) }
        appends.forEach { runFollowUps(it) }
    }

    private fun runFollowUps(append: Append) = append.followUps.forEach { it() }

    private companion object {
        const val MAX_WAITING = 2_000
    }
}
