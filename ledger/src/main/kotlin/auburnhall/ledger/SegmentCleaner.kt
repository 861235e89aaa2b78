/*
 * Deletes segments in which nothing counts any more, oldest first, so that no record comes back that a later segment
 * has replaced.
 */
package auburnhall.ledger

import auburnhall.store.WriteResult

internal class SegmentCleaner(
    private val shard: Int,
    private val table: IntentTable,
    private val log: ShardLog,
    private val context: LedgerContext,
) {
    /** Forgets expired records and deletes what can be deleted. */
    fun run() {
        table.dropExpired()
        val oldest = log.oldestClosed ?: return
        val records = table.inSegment(oldest.number)
        when {
            records.isEmpty() -> delete(oldest)
            records.all { isOldUnresolved(it) } -> records.forEach { carryForward(it) }
        }
    }

    private fun delete(segment: ClosedSegment) {
        val key = SegmentKeys.of(shard, segment.number)
        context.loop.call({ context.store.compareAndDelete(key, segment.revision) }) { result ->
            val isGone = result is WriteResult.Success || (result is WriteResult.Conflict && result.current == null)
            if (isGone && log.oldestClosed == segment) {
                log.forgetOldest()
                run()
            }
        }
    }

    /** Unresolved records outlive the recorded answers around them. */
    private fun isOldUnresolved(record: IntentRecord): Boolean {
        val age = context.clock.now().toEpochMilli() - record.atMillis
        return record.state != IntentState.DONE && age >= LedgerTimes.KEEP_DONE_MILLIS
    }

    private fun carryForward(record: IntentRecord) {
        if (log.isUnsettled(record.key)) return
        log.append(
            Append(record, isWanted = { true }) { result ->
                if (result is AppendResult.Kept) table.put(record, result.segment)
            },
        )
    }
}
