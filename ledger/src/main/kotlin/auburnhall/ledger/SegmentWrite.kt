/*
 * One write of a segment, followed until its effect is certain.
 */
package auburnhall.ledger

import auburnhall.store.ABSENT
import auburnhall.store.ReadResult
import auburnhall.store.StoreEntry
import auburnhall.store.WriteResult

/** What became of a write. */
internal sealed interface SegmentWriteResult {
    /** The store holds what was written, as [revision]. */
    data class Kept(
        val revision: Long,
    ) : SegmentWriteResult

    /** The store refused the write; it is certain that it holds nothing of it. */
    data class Refused(
        val message: String,
    ) : SegmentWriteResult

    /** Another process has written the segment; it may have read what was written before it did. */
    data object Overtaken : SegmentWriteResult
}

/**
 * Writes [segment] of [shard] if its revision is still the one that it names. A try without an answer is read back, and
 * written again when it is not there, since it may still arrive. [onResult] comes on the control thread.
 */
internal class SegmentWrite(
    private val shard: Int,
    private val segment: Segment,
    private val context: LedgerContext,
    private val onResult: (SegmentWriteResult) -> Unit,
) {
    private val key = SegmentKeys.of(shard, segment.number)
    private val bytes = segment.document.encode()

    /** Set once the store left a try unanswered. */
    private var mayBeStored = false

    fun start() {
        context.loop.call({ context.store.compareAndSwap(key, segment.revision, bytes) }) { result ->
            when (result) {
                is WriteResult.Success -> onResult(SegmentWriteResult.Kept(result.revision))
                is WriteResult.Conflict -> onFound(result.current)
                is WriteResult.Refused -> onRefused(result.message)
                is WriteResult.Unknown -> onUnknown(result.message)
            }
        }
    }

    private fun onUnknown(message: String) {
        mayBeStored = true
        context.listener.onCommitFailed(shard, message)
        readBack()
    }

    private fun onRefused(message: String) {
        context.listener.onCommitFailed(shard, message)
        if (mayBeStored) {
            context.loop.after(context.retryDelayMillis()) { readBack() }
        } else {
            onResult(SegmentWriteResult.Refused(message))
        }
    }

    private fun readBack() {
        context.loop.call({ context.store.get(key) }) { result ->
            when (result) {
                is ReadResult.Success -> onFound(result.entries.firstOrNull())
                is ReadResult.Error -> context.loop.after(context.retryDelayMillis()) { readBack() }
            }
        }
    }

    private fun onFound(entry: StoreEntry?) {
        when {
            entry != null && isOurs(entry) -> onResult(SegmentWriteResult.Kept(entry.revision))
            (entry?.revision ?: ABSENT) == segment.revision ->
                context.loop.after(context.retryDelayMillis()) { start() }
            else -> onResult(SegmentWriteResult.Overtaken)
        }
    }

    private fun isOurs(entry: StoreEntry) = SegmentDocument.commitOf(entry) == segment.document.header.commit
}
