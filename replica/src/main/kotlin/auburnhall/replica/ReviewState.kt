/*
 * What the review of the replicas that exist goes by.
 */
package auburnhall.replica

import auburnhall.core.AssignmentTable
import auburnhall.core.InstanceId
import auburnhall.core.Replica
import auburnhall.core.ReplicaId

/**
 * Everything that [review] judges by. Times are monotonic milliseconds.
 *
 * @property since when this controller first saw each replica in its present state.
 * @property quarantinedSince when this controller first saw each quarantined instance in the table.
 * @property leaving instances that operators, the platform or the engines themselves want left alone.
 * @property stragglers members that are much slower than their peers.
 * @property listed instances in the platform's list.
 */
internal data class ReviewState(
    val nowMillis: Long,
    val table: AssignmentTable,
    val health: Map<InstanceId, InstanceHealth>,
    val since: Map<ReplicaId, Long>,
    val quarantinedSince: Map<InstanceId, Long>,
    val leaving: Set<InstanceId>,
    val stragglers: Set<InstanceId>,
    val listed: Set<InstanceId>,
) {
    fun health(instance: InstanceId): InstanceHealth = health[instance] ?: InstanceHealth(nowMillis)

    /** Milliseconds that [replica] has been in its present state, as far as this controller knows. */
    fun ageMillis(replica: Replica): Long = nowMillis - (since[replica.id] ?: nowMillis)
}
