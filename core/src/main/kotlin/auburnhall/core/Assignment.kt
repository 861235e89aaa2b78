/*
 * Which instances form which replica. One table per data centre is one value of the platform's store, so every change
 * is one compare-and-swap and an instance cannot be in two replicas: [AssignmentTable] refuses to be built otherwise.
 */
package auburnhall.core

import kotlinx.serialization.Serializable

/** Where a replica is in its life. */
@Serializable
enum class ReplicaState {
    /** Members have been ordered to load the model; no request is routed to it. */
    FORMING,

    /** Requests are routed to it while all of its members are present. */
    SERVING,

    /** Requests in progress finish; no new request is routed to it. */
    DRAINING,
}

/**
 * A replica and its members.
 *
 * @property members at least one instance; the first leads and receives the requests.
 * @property generation fencing number carried by every order; higher than that of any earlier replica of the table.
 * @property incarnations run of each member's engine when the replica was formed, in the order of [members]. A member
 *   of another run has lost what it held, whatever it says.
 */
@Serializable
data class Replica(
    val id: ReplicaId,
    val model: String,
    val modelVersion: String,
    val members: List<InstanceId>,
    val generation: Long,
    val state: ReplicaState,
    val incarnations: List<String> = emptyList(),
) {
    init {
        require(members.isNotEmpty()) { "replica $id has no members" }
        require(members.distinct().size == members.size) { "replica $id lists a member twice" }
    }

    /** The member that receives requests. */
    val leader: InstanceId get() = members.first()
}

/**
 * All replicas of one data centre.
 *
 * @property term rises by one whenever another process takes control of the table.
 * @property controller the process that may change the table in this term; null before the first.
 * @property lastGeneration highest generation given to any replica of this table so far.
 * @property quarantined instances of dissolved replicas that must not be used again yet.
 */
@Serializable
data class AssignmentTable(
    val dataCentre: DataCentreId,
    val term: Long = 0,
    val controller: ProcessId? = null,
    val lastGeneration: Long = 0,
    val replicas: List<Replica> = emptyList(),
    val quarantined: List<QuarantinedInstance> = emptyList(),
) {
    init {
        val seen = HashSet<InstanceId>()
        replicas.forEach { r ->
            r.members.forEach { require(seen.add(it)) { "instance $it is in two replicas of $dataCentre" } }
        }
    }
}

/** An instance that may still hold work of a replica of generation [generation] that was dissolved. */
@Serializable
data class QuarantinedInstance(
    val instance: InstanceId,
    val generation: Long,
)
