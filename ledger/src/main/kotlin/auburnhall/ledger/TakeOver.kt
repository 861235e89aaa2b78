/*
 * Taking a shard over: reads all of its segments, then writes the last one as the new owner. From then on the earlier
 * owner's commits fail, whatever it believes.
 */
package auburnhall.ledger

import auburnhall.store.ABSENT
import auburnhall.store.ReadResult
import auburnhall.store.StoreEntry
import kotlinx.serialization.SerializationException

/** A segment with the records in it. */
internal class LoadedSegment(
    val segment: Segment,
    val records: List<IntentRecord>,
)

/** Outcome of a take-over. */
internal sealed interface TakeOverResult {
    /** This process owns the shard. [loaded] are its segments in order; the last is current. */
    data class Taken(
        val loaded: List<LoadedSegment>,
    ) : TakeOverResult

    /** Other processes go on writing the shard. */
    data object Overtaken : TakeOverResult

    /** The store did not answer or refused. */
    data class Failed(
        val message: String,
    ) : TakeOverResult
}

/** One attempt to take [shard] over. [attempt] differs between any two attempts of this process. */
internal class TakeOver(
    private val shard: Int,
    private val attempt: Long,
    private val context: LedgerContext,
    private val onResult: (TakeOverResult) -> Unit,
) {
    private sealed interface Found {
        data class Success(
            val loaded: List<LoadedSegment>,
        ) : Found

        data class Error(
            val message: String,
        ) : Found
    }

    private var reads = 0

    fun start() {
        reads += 1
        context.loop.call({ read() }) { found ->
            when (found) {
                is Found.Error -> onResult(TakeOverResult.Failed(found.message))
                is Found.Success -> write(found.loaded, ownedAfter(found.loaded.lastOrNull()))
            }
        }
    }

    private fun read(): Found =
        when (val result = context.store.list(SegmentKeys.prefix(shard))) {
            is ReadResult.Error -> Found.Error(result.message)
            is ReadResult.Success -> decode(result.entries)
        }

    private fun decode(entries: List<StoreEntry>): Found =
        try {
            Found.Success(entries.map { load(it) })
        } catch (e: SerializationException) {
            Found.Error("shard $shard cannot be read: ${e.message}")
        }

    private fun load(entry: StoreEntry): LoadedSegment {
        val document = SegmentDocument.decode(entry.value)
        return LoadedSegment(Segment(SegmentKeys.number(entry.key), entry.revision, document), document.records())
    }

    private fun ownedAfter(last: LoadedSegment?): LoadedSegment {
        val before = last?.segment
        val epoch = (before?.document?.header?.epoch ?: 0) + 1
        val header = SegmentHeader(context.self, epoch, "${context.self}-take-over-$attempt-$reads")
        return if (before == null || before.document.header.closed) {
            val number = (before?.number ?: 0) + 1
            LoadedSegment(Segment(number, ABSENT, SegmentDocument(header, emptyMap())), emptyList())
        } else {
            LoadedSegment(before.copy(document = before.document.copy(header = header)), last.records)
        }
    }

    private fun write(
        found: List<LoadedSegment>,
        owned: LoadedSegment,
    ) = SegmentWrite(shard, owned.segment, context) { result ->
        when (result) {
            is SegmentWriteResult.Kept -> onResult(TakeOverResult.Taken(ownedList(found, owned, result.revision)))
            is SegmentWriteResult.Refused -> onResult(TakeOverResult.Failed(result.message))
            SegmentWriteResult.Overtaken -> onOvertaken()
        }
    }.start()

    private fun ownedList(
        found: List<LoadedSegment>,
        owned: LoadedSegment,
        revision: Long,
    ): List<LoadedSegment> {
        val earlier = found.filter { it.segment.number != owned.segment.number }
        return earlier + LoadedSegment(owned.segment.copy(revision = revision), owned.records)
    }

    private fun onOvertaken() {
        if (reads < MAX_READS) {
            context.loop.after(context.retryDelayMillis()) { start() }
        } else {
            onResult(TakeOverResult.Overtaken)
        }
    }

    private companion object {
        const val MAX_READS = 4
    }
}
