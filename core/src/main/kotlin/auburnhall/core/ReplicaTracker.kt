/*
 * Tracks which replicas accept requests. A replica is open once all its members are listed in it. A member whose entry
 * disappears afterwards may only have lost its connection to the store, so the replica stays open until its head is
 * missing or no longer open, another member reports otherwise, or the controller tears the replica down.
 */
package auburnhall.core

/** The open replicas of one service, updated with each new state of the fleet. */
class ReplicaTracker(
    private val service: String,
) {
    private var openByKey: Map<Pair<String, Long>, Replica> = emptyMap()

    /** Replicas that accept requests, as of the last [update]. */
    val open: List<Replica> get() = openByKey.values.toList()

    /** Applies a new state of the fleet; returns the open replicas. */
    fun update(
        fleet: Fleet,
        models: List<Model>,
    ): List<Replica> {
        val complete = fleet.openReplicas(service, models).associateBy { it.name to it.epoch }
        val retained = openByKey.filter { (key, replica) -> key !in complete && staysOpen(replica, fleet) }
        openByKey = complete + retained
        return open
    }

    /** Members of [replica] that [fleet] does not list. */
    fun missing(
        replica: Replica,
        fleet: Fleet,
    ): List<Worker> = replica.members.filter { it.id !in fleet.workers }

    private fun staysOpen(
        replica: Replica,
        fleet: Fleet,
    ): Boolean {
        val head = fleet.workers[replica.head.id] ?: return false
        val listed = replica.members.mapNotNull { fleet.workers[it.id] }
        val agree =
            listed.all {
                it.membership?.replica == replica.name &&
                    it.membership.epoch == replica.epoch &&
                    !it.draining
            }
        return agree && head.membership?.state == MemberState.OPEN
    }
}
