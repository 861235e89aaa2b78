/*
 * The workers and the replicas that they form, as last reported by the workers themselves.
 */
package auburnhall.core

/** Where a worker stands in the life of its replica. */
enum class MemberState { JOINING, READY, OPEN, CLOSING, BROKEN }

/** A worker's place in a replica. */
data class Membership(
    val replica: String,
    /** Rises with each new list of members; orders with a lower one are refused by workers. */
    val epoch: Long,
    /** 0 is the head, which takes the requests. */
    val rank: Int,
    val state: MemberState,
)

/** One running start of a worker. */
data class Worker(
    val id: String,
    val service: String,
    val address: Address,
    val dataCentre: String,
    /** Requests in progress at once. */
    val slots: Int,
    /** Whether it is about to stop. */
    val draining: Boolean,
    /** Unix milliseconds of its start; tells starts under one id apart. */
    val startedAtUnixMs: Long,
    /** Workers of one domain reach each other fast; null for plain services. */
    val fabricDomain: String?,
    /** Models whose weights are on its host. */
    val stagedModels: List<String>,
    /** Models that it holds in its accelerators. */
    val loadedModels: List<String>,
    val membership: Membership?,
)

/** A replica of a model, complete with its members in rank order. */
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
) {
    val workers: Map<String, Worker> = workers.associateBy { it.id }
    private val byService = workers.groupBy { it.service }

    /** Workers of [service], in no order. */
    fun ofService(service: String): List<Worker> = byService[service].orEmpty()

    /**
     * The replicas of [service] that take requests: the head is open, as many members as the model needs report the
     * same replica and epoch, and none is about to stop.
     */
    fun openReplicas(
        service: String,
        models: List<Model>,
    ): List<Replica> =
        replicas(service, models).filter {
            it.state == MemberState.OPEN &&
                it.members.none(Worker::draining)
        }

    /** The complete replicas of [service], in whatever state. */
    fun replicas(
        service: String,
        models: List<Model>,
    ): List<Replica> {
        val sizes = models.associate { it.name to it.size }
        return ofService(service)
            .filter { it.membership != null }
            .groupBy { checkNotNull(it.membership).let { of -> of.replica to of.epoch } }
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
            sizes[model] == ranked.size && ranked.withIndex().all { (rank, of) -> of.membership?.rank == rank }
        return if (complete) Replica(name, epoch, model, ranked) else null
    }

    companion object {
        val EMPTY = Fleet(0, emptyList())
    }
}

/**
 * Names of replicas hold their model, so that what workers report is enough to tell all replicas after every process
 * was lost.
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
