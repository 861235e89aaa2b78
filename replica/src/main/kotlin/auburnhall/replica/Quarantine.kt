/*
 * When an instance of a dissolved replica that ignores fencing, or could not be asked, may be used again.
 */
package auburnhall.replica

import auburnhall.core.InstanceId

/** Quarantine ends once the instance says that it is idle, after every order and request to it has arrived. */
internal fun endedQuarantines(state: ReviewState): List<PlacementStep> =
    state.table.quarantined
        .map { it.instance }
        .filter { hasEnded(it, state) }
        .map { PlacementStep.EndQuarantine(it) }

private fun hasEnded(
    instance: InstanceId,
    state: ReviewState,
): Boolean {
    val endsAt = (state.quarantinedSince[instance] ?: state.nowMillis) + ReplicaTiming.QUARANTINE_MILLIS
    val health = state.health[instance]
    val gone = instance !in state.listed && state.nowMillis > endsAt
    return gone || (health != null && health.isIdle && (health.aliveAt ?: Long.MIN_VALUE) > endsAt)
}
