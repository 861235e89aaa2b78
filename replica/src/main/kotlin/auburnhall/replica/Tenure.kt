/*
 * This process's time in control of a table: since when, whether it may act yet, and what it remembers of the table's
 * replicas while it holds control. Nothing here outlives a loss of control.
 */
package auburnhall.replica

import auburnhall.core.AssignmentTable
import auburnhall.core.Clock
import auburnhall.core.InstanceId
import auburnhall.core.ProcessId
import auburnhall.core.ReplicaId
import auburnhall.core.ReplicaState

/** Follows one table for the process [self]; used on the control thread. */
internal class Tenure(
    private val self: ProcessId,
    private val clock: Clock,
) {
    private data class StateSince(
        val state: ReplicaState,
        val at: Long,
    )

    private var known: AssignmentTable? = null
    private var changedAt = clock.monotonicMillis()
    private var quietUntil = Long.MAX_VALUE
    private var confirmedAt = Long.MIN_VALUE
    private val since = HashMap<ReplicaId, StateSince>()
    private val quarantinedSince = HashMap<InstanceId, Long>()

    /** Replicas that failures took in this time of control. */
    val losses = ReplicaLosses()

    /** Whether the newest table known names this process as its controller. */
    val isHeld: Boolean get() = known?.controller == self

    /** Whether control is held and the predecessor's orders are over. */
    fun mayAct(now: Long): Boolean = isHeld && now >= quietUntil

    /** Until when orders may be given: a moment after the store last confirmed control. */
    fun ordersUntil(): Long =
        if (confirmedAt == Long.MIN_VALUE) confirmedAt else confirmedAt + ReplicaTiming.ORDER_WINDOW_MILLIS

    /** For how long the table has been seen under its present controller and term. */
    fun unchangedMillis(now: Long): Long = now - changedAt

    /** Since when each replica has been in its present state. */
    fun since(): Map<ReplicaId, Long> = since.mapValues { it.value.at }

    /** Since when each quarantined instance has been in the table. */
    fun quarantinedSince(): Map<InstanceId, Long> = quarantinedSince

    /** Takes in the newest table. */
    fun onTable(table: AssignmentTable?) {
        val before = known
        known = table
        if (before?.term != table?.term || before?.controller != table?.controller) onController(table)
        if (isHeld && before != null && table != null) losses.onTable(before, table)
        follow(table ?: return)
    }

    /** The store confirmed, in answer to a call sent at [sentAt], that the newest table known is in force. */
    fun onConfirmed(sentAt: Long) {
        if (isHeld) confirmedAt = maxOf(confirmedAt, sentAt)
    }

    /** Before the first controller nobody can have given orders; after any other, theirs are waited out. */
    private fun onController(table: AssignmentTable?) {
        val now = clock.monotonicMillis()
        changedAt = now
        confirmedAt = Long.MIN_VALUE
        quietUntil = if (table?.term == FIRST_TERM) now else now + ReplicaTiming.TAKEOVER_QUIET_MILLIS
        since.clear()
        quarantinedSince.clear()
        losses.clear()
    }

    private fun follow(table: AssignmentTable) {
        val now = clock.monotonicMillis()
        since.keys.retainAll(table.replicas.map { it.id }.toSet())
        table.replicas.forEach { r ->
            if (since[r.id]?.state != r.state) since[r.id] = StateSince(r.state, now)
        }
        quarantinedSince.keys.retainAll(table.quarantined.map { it.instance }.toSet())
        table.quarantined.forEach { quarantinedSince.putIfAbsent(it.instance, now) }
    }

    private companion object {
        const val FIRST_TERM = 1L
    }
}
