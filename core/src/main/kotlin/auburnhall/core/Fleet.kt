/*
 * The view of the fleet that one entry process routes by. It is immutable and replaced as a whole by the control
 * thread, so a traffic thread reads it without locks.
 */
package auburnhall.core

/**
 * What is known of one replica.
 *
 * @property presentUntil until when the last signs of life of all members allow new requests; set from the oldest one.
 * @property capacity number of requests the replica runs at once.
 * @property running requests in progress as last reported, over all entry processes.
 * @property queued requests waiting inside the engine as last reported.
 * @property reportedAt monotonic time of the report.
 * @property tokensPerSecond generation speed of one request as last reported; 0 when not known.
 * @property prefixes hashes of the prompt prefixes that the engine says it caches.
 */
data class ReplicaStatus(
    val replica: Replica,
    val dataCentre: DataCentreId,
    val leaderAddress: String,
    val presentUntil: Deadline,
    val capacity: Int,
    val running: Int,
    val queued: Int,
    val reportedAt: Long,
    val tokensPerSecond: Int = 0,
    val prefixes: Set<Int> = emptySet(),
)

/** An instance of a plain service. */
data class ServiceInstance(
    val id: InstanceId,
    val service: String,
    val address: String,
    val dataCentre: DataCentreId,
)

/** Everything routing chooses from. Only replicas in state [ReplicaState.SERVING] are listed. */
data class FleetView(
    val replicas: List<ReplicaStatus> = emptyList(),
    val services: List<ServiceInstance> = emptyList(),
)
