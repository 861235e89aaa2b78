/*
 * Whether this entry process owns a shard: it takes the shard over when it is asked and responsible, and drops it once
 * another process has taken it over. Used on the control thread.
 */
package auburnhall.ledger

import auburnhall.core.Deadline
import auburnhall.core.deadlineIn

/** A shard that this process owns, as far as it knows. */
internal class OwnedShard(
    val table: IntentTable,
    val log: ShardLog,
    val cleaner: SegmentCleaner,
)

/** [isResponsible] tells whether this process ranks first for the shard in its own view of the members. */
internal class ShardOwnership(
    private val shard: Int,
    private val context: LedgerContext,
    private val isResponsible: () -> Boolean,
) {
    private sealed interface State {
        /** [reason] says why the store could not be asked for the shard; null when another process may own it. */
        class NotHeld(
            val reason: String?,
        ) : State

        class TakingOver(
            val waiting: MutableList<() -> Unit>,
        ) : State

        class Owned(
            val shard: OwnedShard,
        ) : State
    }

    private var state: State = State.NotHeld(null)
    private var takeOverAt = Deadline.PASSED
    private var attempts = 0L

    /** Returns the shard if this process owns it; else runs [again] once that is decided, or [refuse]. */
    fun ownedOr(
        again: () -> Unit,
        refuse: (String?) -> Unit,
    ): OwnedShard? {
        when (val s = state) {
            is State.Owned -> return s.shard
            is State.TakingOver -> if (s.waiting.size < MAX_WAITING) s.waiting += again else refuse(TOO_MANY)
            is State.NotHeld -> if (mayTakeOver()) takeOver(again) else refuse(s.reason)
        }
        return null
    }

    private fun mayTakeOver() = isResponsible() && takeOverAt.hasPassed(context.clock.monotonicMillis())

    private fun takeOver(again: () -> Unit) {
        attempts += 1
        takeOverAt = context.clock.deadlineIn(LedgerTimes.TAKE_OVER_GAP_MILLIS)
        val waiting = mutableListOf(again)
        state = State.TakingOver(waiting)
        TakeOver(shard, attempts, context) { result ->
            state = stateAfter(result)
            waiting.forEach { it() }
        }.start()
    }

    private fun stateAfter(result: TakeOverResult): State =
        when (result) {
            is TakeOverResult.Taken -> State.Owned(own(result.loaded))
            is TakeOverResult.Failed -> State.NotHeld(result.message)
            TakeOverResult.Overtaken -> State.NotHeld(null)
        }

    private fun own(loaded: List<LoadedSegment>): OwnedShard {
        val table = IntentTable(context.clock)
        loaded.forEach { l -> l.records.forEach { table.put(it, l.segment.number) } }
        table.dropExpired()
        val log = ShardLog(shard, loaded.map { it.segment }, context, onLost = { drop() })
        val owned = OwnedShard(table, log, SegmentCleaner(shard, table, log, context))
        context.listener.onTakenOver(shard, log.epoch, table.size)
        cleanUpLater(owned)
        return owned
    }

    private fun drop() {
        state = State.NotHeld(null)
        context.listener.onLost(shard)
    }

    private fun cleanUpLater(owned: OwnedShard) {
        context.loop.after(LedgerTimes.CLEAN_UP_MILLIS) {
            if ((state as? State.Owned)?.shard === owned) {
                owned.cleaner.run()
                cleanUpLater(owned)
            }
        }
    }

    private companion object {
        const val MAX_WAITING = 2_000
        const val TOO_MANY = "too many calls wait for the shard to be taken over"
    }
}
