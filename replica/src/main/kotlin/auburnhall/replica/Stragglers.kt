/*
 * Members that are alive but hold their replica up, and instances that are left out for a while because they did.
 */
package auburnhall.replica

import auburnhall.core.AssignmentTable
import auburnhall.core.InstanceId
import auburnhall.core.Replica
import auburnhall.core.ReplicaState
import auburnhall.engine.EngineState

private const val ROUND_TRIP_FACTOR = 10
private const val ROUND_TRIP_FLOOR_MILLIS = 500L
private const val SPEED_FACTOR = 3
private const val MIN_PEERS = 3

/**
 * The members of serving replicas that answer far later than the others, and the likely one of each replica that
 * generates far more slowly than the others of its model.
 */
internal fun slowMembers(
    table: AssignmentTable,
    health: Map<InstanceId, InstanceHealth>,
): Set<InstanceId> {
    val serving = table.replicas.filter { it.state == ReplicaState.SERVING }
    return lateMembers(serving, health) + serving.groupBy { it.model }.values.flatMap { slowReplicas(it, health) }
}

private fun lateMembers(
    replicas: List<Replica>,
    health: Map<InstanceId, InstanceHealth>,
): Set<InstanceId> {
    val members = replicas.flatMap { it.members }.filter { health[it]?.aliveAt != null }
    val usual = median(members.map { health.getValue(it).roundTripMillis }) ?: return emptySet()
    val limit = maxOf(usual * ROUND_TRIP_FACTOR, ROUND_TRIP_FLOOR_MILLIS)
    return members.filter { health.getValue(it).roundTripMillis > limit }.toSet()
}

private fun slowReplicas(
    replicas: List<Replica>,
    health: Map<InstanceId, InstanceHealth>,
): List<InstanceId> {
    val busy = replicas.filter { (health[it.leader]?.status?.running ?: 0) > 0 }
    val speeds =
        busy
            .associateWith {
                health[it.leader]?.status?.tokensPerSecond?.toLong() ?: 0
            }.filterValues { it > 0 }
    val usual = median(speeds.values.toList())
    if (usual == null || speeds.size <= MIN_PEERS) return emptyList()
    val slow = speeds.filterValues { it * SPEED_FACTOR < usual }.keys
    return slow.map { r -> r.members.maxBy { health[it]?.roundTripMillis ?: 0 } }
}

private fun median(values: List<Long>): Long? = values.sorted().getOrNull(values.size / 2)

/** Remembers who was slow or failed to load, and for how long to leave it out; used on the control thread. */
internal class RestingInstances {
    private data class Rest(
        val untilMillis: Long,
        val times: Int,
    )

    private val slowSince = HashMap<InstanceId, Long>()
    private val rests = HashMap<InstanceId, Rest>()

    /** Instances that are left out at [now]. */
    fun at(now: Long): Set<InstanceId> = rests.filterValues { it.untilMillis > now }.keys.toSet()

    /**
     * Takes in what is seen at [now] and returns the members whose replicas are to be drained: one at a time, and only
     * when it has been slow for [SLOW_MILLIS].
     */
    fun observe(
        table: AssignmentTable,
        health: Map<InstanceId, InstanceHealth>,
        now: Long,
    ): Set<InstanceId> {
        val slow = slowMembers(table, health)
        slowSince.keys.retainAll(slow)
        slow.forEach { slowSince.putIfAbsent(it, now) }
        failedToLoad(table, health).forEach { rest(it, now) }
        if (table.replicas.any { it.state == ReplicaState.DRAINING }) return emptySet()
        val worst = slowSince.filterValues { now - it >= SLOW_MILLIS }.minByOrNull { it.value }?.key
        worst?.let { rest(it, now) }
        return setOfNotNull(worst)
    }

    private fun failedToLoad(
        table: AssignmentTable,
        health: Map<InstanceId, InstanceHealth>,
    ): List<InstanceId> =
        table.replicas.filter { it.state == ReplicaState.FORMING }.flatMap { r ->
            r.members.filter { health[it]?.names(r) == true && health[it]?.status?.state == EngineState.FAILED }
        }

    /** Each time, the instance is left out twice as long as the time before. */
    private fun rest(
        instance: InstanceId,
        now: Long,
    ) {
        val last = rests[instance]
        if (last != null && last.untilMillis > now) return
        val times = if (last != null && now - last.untilMillis < FORGET_MILLIS) last.times + 1 else 0
        val millis = FIRST_REST_MILLIS shl minOf(times, MAX_DOUBLINGS)
        rests[instance] = Rest(now + millis, times)
    }

    private companion object {
        const val SLOW_MILLIS = 20_000L
        const val FIRST_REST_MILLIS = 120_000L
        const val MAX_DOUBLINGS = 5
        const val FORGET_MILLIS = 86_400_000L
    }
}
