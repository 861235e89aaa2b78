/*
 * Which entry process is to control an assignment table. Control itself is a field of the table, taken by
 * compare-and-swap; this only decides who tries.
 */
package auburnhall.replica

import auburnhall.core.AssignmentTable
import auburnhall.core.DataCentreId
import auburnhall.core.ProcessId
import auburnhall.membership.MembershipView

/** The entry processes in the order in which they are to control the table of [dataCentre]: its own members first. */
internal fun controlOrder(
    view: MembershipView,
    dataCentre: DataCentreId,
): List<ProcessId> {
    val (own, others) = view.ranked("table/${dataCentre.value}").partition { it.dataCentre == dataCentre }
    return (own + others).map { it.process }
}

/**
 * What [shouldClaim] judges by.
 *
 * @property order as by [controlOrder].
 * @property unchangedMillis for how long this process has seen the table under its present controller.
 */
internal data class ClaimState(
    val self: ProcessId,
    val order: List<ProcessId>,
    val table: AssignmentTable?,
    val unchangedMillis: Long,
)

/** Tells whether this process is to claim control now. It never claims what it has. */
internal fun shouldClaim(state: ClaimState): Boolean {
    val rank = state.order.indexOf(state.self)
    val controller = state.table?.controller
    val ranked = state.order.indexOf(controller)
    return when {
        rank < 0 || controller == state.self -> false
        controller == null -> state.unchangedMillis >= rank * ReplicaTiming.CLAIM_RANK_MILLIS
        ranked < 0 -> state.unchangedMillis >= claimFromSilentMillis(rank)
        else -> rank < ranked && state.unchangedMillis >= ReplicaTiming.CLAIM_FROM_ANSWERING_MILLIS && rank == 0
    }
}

private fun claimFromSilentMillis(rank: Int) =
    ReplicaTiming.CLAIM_FROM_SILENT_MILLIS + rank * ReplicaTiming.CLAIM_RANK_MILLIS
