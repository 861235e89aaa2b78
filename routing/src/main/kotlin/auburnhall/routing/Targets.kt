/*
 * What a request can be sent to: the head of a replica, or a worker of a plain service.
 */
package auburnhall.routing

import auburnhall.core.EngineProfile
import auburnhall.core.Fleet
import auburnhall.core.Replica
import auburnhall.core.Service
import auburnhall.core.Worker

/** Identifies one run of a worker, or one epoch of a replica; load and health are tracked per key. */
@JvmInline
value class TargetKey(
    val text: String,
)

/** A replica, or a worker of a plain service, that accepts requests. */
data class Target(
    val key: TargetKey,
    /** The worker that receives the requests; for a replica its head. */
    val worker: Worker,
    /** Null for a worker of a plain service. */
    val replica: Replica?,
    /** Requests that can be in progress concurrently. */
    val slots: Int,
    /** The model that it serves; null for a plain service. */
    val model: String?,
) {
    /** What it serves: the model, or the plain service. */
    val served: String get() = model ?: worker.service
}

/** The targets of every service, computed once for a state of the fleet and a configuration. */
class TargetTable(
    fleet: Fleet,
    services: Collection<Service>,
    /** Open replicas by service. */
    replicas: Map<String, List<Replica>>,
) {
    private val byService = services.associate { it.name to targetsOf(it, fleet, replicas[it.name].orEmpty()) }

    /** The targets of each pool that has any. */
    val pools: Map<TargetPool, List<Target>> =
        byService.entries
            .flatMap { (service, targets) -> targets.groupBy { TargetPool(service, it.model) }.entries }
            .associate { it.key to it.value }
    private val present = byService.values.flatten().associateBy { it.key }

    /** Targets of [service] that serve [model]; for plain services [model] is ignored. */
    fun of(
        service: String,
        model: String?,
    ): List<Target> = byService[service].orEmpty().filter { it.model == null || it.model == model }

    /** All targets of [service]. */
    fun of(service: String): List<Target> = byService[service].orEmpty()

    /** Whether requests may still be sent to [key]. */
    fun isPresent(key: TargetKey): Boolean = key in present

    /** The target [key]; null if it no longer accepts requests. */
    fun find(key: TargetKey): Target? = present[key]

    companion object {
        /** The key of [worker], one of a plain service. */
        fun keyOf(worker: Worker) = TargetKey("${worker.id}@${worker.startedAtUnixMs}")

        fun keyOf(replica: Replica) = keyOf(replica.name, replica.epoch)

        /** The key of the replica [name] at [epoch]. */
        fun keyOf(
            name: String,
            epoch: Long,
        ) = TargetKey("$name@$epoch")

        private fun targetsOf(
            service: Service,
            fleet: Fleet,
            replicas: List<Replica>,
        ): List<Target> = service.engine?.let { replicaTargets(it, replicas) } ?: workerTargets(service, fleet)

        private fun replicaTargets(
            engine: EngineProfile,
            replicas: List<Replica>,
        ) = replicas.map { Target(keyOf(it), it.head, it, engine.slots, it.model) }

        private fun workerTargets(
            service: Service,
            fleet: Fleet,
        ) = fleet.ofService(service.name).filter { !it.draining }.map {
            Target(keyOf(it), it, null, it.slots, null)
        }
    }
}
