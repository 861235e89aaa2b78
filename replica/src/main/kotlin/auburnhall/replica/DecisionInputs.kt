/*
 * Puts together what the pure decisions go by, from the engines as they are seen and the operators' list.
 */
package auburnhall.replica

import auburnhall.core.AssignmentTable
import auburnhall.core.DataCentreId
import auburnhall.core.InstanceId
import auburnhall.core.Replica
import auburnhall.core.ReplicaState
import auburnhall.core.UsageList

private const val IDLE_MILLIS = 30_000L

/** How long an instance must have answered without a gap before it is used. */
private const val SETTLE_MILLIS = 5_000L

/**
 * What placement needs beside the engines.
 *
 * @property tables the assignment tables of all data centres.
 * @property losses replicas of each model lost to failures and not replaced.
 * @property held instances that must not be used now.
 */
internal data class PlacementRequest(
    val usage: UsageList,
    val tables: Map<DataCentreId, AssignmentTable>,
    val losses: Map<String, Int>,
    val held: Set<InstanceId>,
)

/** What [review] needs; [slow] are the members that hold their replicas up. */
internal fun reviewState(
    table: AssignmentTable,
    view: EngineView,
    tenure: Tenure,
    slow: Set<InstanceId>,
): ReviewState =
    ReviewState(
        nowMillis = view.nowMillis,
        table = table,
        health = view.health,
        since = tenure.since(),
        quarantinedSince = tenure.quarantinedSince(),
        leaving = view.leaving,
        stragglers = slow,
        listed = view.domains.keys,
    )

/** What [plan] needs. */
internal fun placementState(
    table: AssignmentTable,
    view: EngineView,
    request: PlacementRequest,
): PlacementState {
    val used = table.replicas.flatMap { it.members } + table.quarantined.map { it.instance } + request.held
    val free = view.domains.keys - used.toSet() - view.leaving
    return PlacementState(
        table = table,
        free = free.filter { isUsable(it, view) }.toSet(),
        domains = view.domains,
        needs = needs(table.dataCentre, view, request),
        idle =
            table.replicas
                .filter { isIdle(it, view) }
                .map { it.id }
                .toSet(),
        maxForming = view.maxForming,
    )
}

private fun needs(
    dataCentre: DataCentreId,
    view: EngineView,
    request: PlacementRequest,
): List<ModelNeed> =
    request.usage.models.map { spec ->
        val replicas = request.tables.values.flatMap { it.replicas }
        val total = replicas.count { it.model == spec.name && it.state != ReplicaState.DRAINING }
        val share = replicaShares(spec, view.engineCounts)[dataCentre] ?: 0
        ModelNeed(spec, share, total, request.losses[spec.name] ?: 0)
    }

private fun isUsable(
    instance: InstanceId,
    view: EngineView,
): Boolean {
    val health = view.health[instance]
    val since = health?.answeringSince ?: return false
    return health.isIdle && health.isPresent(view.nowMillis) && view.nowMillis - since >= SETTLE_MILLIS
}

private fun isIdle(
    replica: Replica,
    view: EngineView,
): Boolean {
    val since = view.health[replica.leader]?.idleSince ?: return false
    return replica.state == ReplicaState.SERVING && view.nowMillis - since >= IDLE_MILLIS
}
