/*
 * The log of one owned shard: keeps records by group commits into the shard's current segment. Each commit is a
 * compare-and-swap of that segment, so it fails once another process has taken the shard over.
 */
package auburnhall.ledger

import auburnhall.core.Deadline
import auburnhall.core.deadlineIn
import auburnhall.store.ABSENT

/** A segment that takes no more records. */
internal data class ClosedSegment(
    val number: Long,
    val revision: Long,
)

/** Begins with [segments], the last of which was written by this process. Ends when it calls [onLost]. */
internal class ShardLog(
    private val shard: Int,
    segments: List<Segment>,
    private val context: LedgerContext,
    private val onLost: () -> Unit,
) {
    private val queue = CommitQueue()
    private val closed = ArrayDeque(segments.dropLast(1).map { ClosedSegment(it.number, it.revision) })
    private var current = segments.last()
    private var isCommitting = false
    private var isScheduled = false
    private var nextCommitAt = Deadline.PASSED
    private var commits = 0L

    /** Number of this ownership of the shard. */
    val epoch: Long get() = current.document.header.epoch

    /** The oldest segment that is not current. */
    val oldestClosed: ClosedSegment? get() = closed.firstOrNull()

    /** To be called once [oldestClosed] is deleted. */
    fun forgetOldest() {
        closed.removeFirst()
    }

    /** Keeps [Append.record] with the next commit. */
    fun append(append: Append) {
        queue.add(append)
        schedule()
    }

    /** Runs [task] once the record of [key] that is being kept is settled; returns false when there is none. */
    fun whenSettled(
        key: IntentKey,
        task: () -> Unit,
    ): Boolean {
        val append = queue.find(key) ?: return false
        append.followUps += task
        return true
    }

    /** Whether a record of [key] is being kept. */
    fun isUnsettled(key: IntentKey): Boolean = queue.find(key) != null

    private fun schedule() {
        if (isScheduled || isCommitting || queue.isEmpty) return
        isScheduled = true
        context.loop.after(nextCommitAt.remainingMillis(context.clock.monotonicMillis())) {
            isScheduled = false
            commit()
        }
    }

    private fun commit() {
        val batch = queue.takeBatch()
        if (batch.isEmpty()) return
        isCommitting = true
        nextCommitAt = context.clock.deadlineIn(LedgerTimes.COMMIT_GAP_MILLIS)
        val next = next(batch)
        val startedAt = context.clock.monotonicMillis()
        SegmentWrite(shard, next, context) { onWritten(it, next, batch.size, startedAt) }.start()
    }

    private fun next(batch: List<Append>): Segment {
        commits += 1
        val lines = batch.associate { it.record.key to it.line }
        return current.withLines(lines, "${context.self}-$epoch-$commits")
    }

    private fun onWritten(
        result: SegmentWriteResult,
        written: Segment,
        records: Int,
        startedAt: Long,
    ) {
        isCommitting = false
        when (result) {
            is SegmentWriteResult.Kept -> {
                val millis = context.clock.monotonicMillis() - startedAt
                context.listener.onCommit(shard, records, written.document.sizeBytes, millis)
                advance(written.copy(revision = result.revision))
                queue.settleBatch(AppendResult.Kept(written.number))
            }
            is SegmentWriteResult.Refused -> queue.settleBatch(AppendResult.Refused(result.message))
            SegmentWriteResult.Overtaken -> lose()
        }
        schedule()
    }

    private fun advance(next: Segment) {
        if (next.number != current.number) closed += ClosedSegment(current.number, current.revision)
        current = next
    }

    private fun lose() {
        onLost()
        queue.settleAll()
    }
}

/** The segment after a commit of [lines]: this one with them, or the following one when this one is closed. */
internal fun Segment.withLines(
    lines: Map<IntentKey, String>,
    commit: String,
): Segment {
    val header = document.header.copy(commit = commit, closed = false)
    val next =
        if (document.header.closed) {
            Segment(number + 1, ABSENT, SegmentDocument(header, lines))
        } else {
            copy(document = SegmentDocument(header, document.lines + lines))
        }
    val isFull = next.document.sizeBytes >= LedgerSizes.SEGMENT_BYTES
    return next.copy(document = next.document.copy(header = header.copy(closed = isFull)))
}
