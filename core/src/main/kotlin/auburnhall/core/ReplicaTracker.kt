/*
 * Which replicas take requests. A replica counts once all its members are listed under it; a member whose entry goes
 * missing afterwards may only be cut off from the store, so the replica counts until its head or another member says
 * otherwise, or the controller takes it apart.
 */
package auburnhall.core

/** The open replicas of one service, followed from one state of the fleet to the next. */
class ReplicaTracker(
    private val service: String,
) {
    private var known: Map<Pair<String, Long>, Replica> = emptyMap()

    /** Replicas that take requests, as of the last [update]. */
    val open: List<Replica> get() = known.values.toList()

    /** Takes over a new state of the fleet. */
    fun update(
        fleet: Fleet,
        models: List<Model>,
    ): List<Replica> {
        val complete = fleet.openReplicas(service, models).associateBy { it.name to it.epoch }
        val kept = known.filter { (key, replica) -> key !in complete && stillStands(replica, fleet) }
        known = complete + kept
        return open
    }

    /** Members of [replica] that [fleet] does not list. */
    fun missing(
        replica: Replica,
        fleet: Fleet,
    ): List<Worker> = replica.members.filter { it.id !in fleet.workers }

    private fun stillStands(
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
