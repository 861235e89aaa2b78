/*
 * The workers and the replicas that they form, as last reported by the workers.
 */
package auburnhall.core

/** State of a worker as a member of its replica. */
enum class MemberState { JOINING, READY, OPEN, CLOSING, BROKEN }

/** Role and state of a worker in a replica. */
data class Membership(
    val replica: String,
    /** Increases with each new list of members; workers refuse orders with a lower epoch. */
    val epoch: Long,
    /** 0 is the head, which receives the requests. */
    val rank: Int,
    val state: MemberState,
)

/** One run of a worker process; after a restart the same ID denotes another run. */
data class Worker(
    val id: String,
    val service: String,
    val address: Address,
    val dataCentre: String,
    /** Requests that can be in progress concurrently. */
    val slots: Int,
    /** Whether the worker is about to stop; it receives no new requests. */
    val draining: Boolean,
    /** Start time in Unix milliseconds; distinguishes runs with the same ID. */
    val startedAtUnixMs: Long,
    /** Workers of one domain share a fast interconnect; null for plain services. */
    val fabricDomain: String?,
    /** Models whose weights are stored on its host. */
    val stagedModels: List<String>,
    /** Models whose weights are loaded into its accelerators. */
    val loadedModels: List<String>,
    val membership: Membership?,
)

/** Why a worker counts as cold. */
enum class ColdSource {
    /** It was not registered before. */
    APPEARED,

    /** It registered again as another run. */
    RESTARTED,

    /** Its entry had been removed. */
    RETURNED,

    /** Its entry states for how long it is cold. */
    ENTRY,

    /** A response of the worker states for how long it is cold. */
    RESPONSE,

    /** Another process passed on such a response. */
    PEER,

    /** The evacuation of its data centre was taken back. */
    EVACUATION,
}

/** The latest sign of a worker's coldness. */
data class ColdState(
    val source: ColdSource,
    /** When it was read, in milliseconds of the monotonic clock. */
    val sinceMs: Long,
    /** Cold time, in milliseconds from [sinceMs], that the worker states; null for that of its service. */
    val remainingMs: Long? = null,
)

/** A replica of a model with all its members, in rank order. */
data class Replica(
    val name: String,
    val epoch: Long,
    val model: String,
    val members: List<Worker>,
) {
    val head: Worker get() = members.first()
    val state: MemberState get() = checkNotNull(head.membership).state
}

/** All workers at one revision of the store. */
class Fleet(
    val revision: Long,
    workers: Collection<Worker>,
    /** Signs of coldness by worker ID, including those whose time is over. */
    val cold: Map<String, ColdState> = emptyMap(),
) {
    val workers: Map<String, Worker> = workers.associateBy { it.id }
    private val byService = workers.groupBy { it.service }

    /** Workers of [service], in no particular order. */
    fun ofService(service: String): List<Worker> = byService[service].orEmpty()

    /**
     * The replicas of [service] that accept requests: the head is open, as many members as the model needs report the
     * same replica and epoch, and none is draining.
     */
    fun openReplicas(
        service: String,
        models: List<Model>,
    ): List<Replica> =
        replicas(service, models).filter {
            it.state == MemberState.OPEN &&
                it.members.none(Worker::draining)
        }

    /** The complete replicas of [service], in any state. */
    fun replicas(
        service: String,
        models: List<Model>,
    ): List<Replica> {
        val sizes = models.associate { it.name to it.size }
        return ofService(service)
            .filter { it.membership != null }
            .groupBy { checkNotNull(it.membership).let { membership -> membership.replica to membership.epoch } }
            .mapNotNull { (key, members) -> replica(key.first, key.second, members, sizes) }
    }

    private fun replica(
        name: String,
        epoch: Long,
        members: List<Worker>,
        sizes: Map<String, Int>,
    ): Replica? {
        val model = ReplicaName.modelOf(name)
        val ranked = members.sortedBy { checkNotNull(it.membership).rank }
        val complete =
            sizes[model] == ranked.size && ranked.withIndex().all { (rank, worker) -> worker.membership?.rank == rank }
        return if (complete) Replica(name, epoch, model, ranked) else null
    }

    companion object {
        val EMPTY = Fleet(0, emptyList())
    }
}

/**
 * Replica names include the model, so that all replicas can be reconstructed from the workers' reports alone after
 * every process was lost.
 */
object ReplicaName {
    private const val SEPARATOR = '/'

    /** The name of the replica of [model] with the serial number [number]. */
    fun of(
        model: String,
        number: Long,
    ) = "$model$SEPARATOR$number"

    /** The model that the replica [name] serves. */
    fun modelOf(name: String) = name.substringBeforeLast(SEPARATOR)
}
