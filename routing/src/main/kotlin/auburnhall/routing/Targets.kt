/*
 * What a request can be sent to: the head of a replica, or a worker of a plain service. Workers in evacuated data
 * centres are known, since requests sent before may still run there, but are no target of further ones.
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
    /** Whether it is another process, to which a request is passed on, and no worker. */
    val helper: Boolean = false,
) {
    /** What it serves: the model, or the plain service. */
    val served: String get() = model ?: worker.service

    /** Whether it serves requests for [model]; a plain service ignores the model. */
    fun serves(model: String?): Boolean = this.model == null || this.model == model
}

/** The targets of every service, computed once for a state of the fleet and a configuration. */
class TargetTable private constructor(
    private val all: Map<String, List<Target>>,
    /** The data centres of the workers of each service. */
    private val dataCentres: Map<String, Set<String>>,
    private val present: Map<TargetKey, Target>,
    /** The data centres to whose workers nothing may be sent. */
    val evacuated: Set<String>,
) {
    private val byService =
        if (evacuated.isEmpty()) all else all.mapValues { (_, targets) -> targets.filterNot(::isEvacuated) }

    /** Targets of [service] that serve [model]; for plain services [model] is ignored. */
    fun of(
        service: String,
        model: String?,
    ): List<Target> = of(service).filter { it.serves(model) }

    /** All targets of [service]. */
    fun of(service: String): List<Target> = byService[service].orEmpty()

    /** Whether [service] has workers, or targets for [model], but all of them are in evacuated data centres. */
    fun isEvacuated(
        service: String,
        model: String?,
    ): Boolean {
        val workersAt = dataCentres[service].orEmpty()
        val nowhereElse = workersAt.isNotEmpty() && evacuated.containsAll(workersAt)
        return nowhereElse || (of(service, model).isEmpty() && all[service].orEmpty().any { it.serves(model) })
    }

    /** All targets of all services, also those in evacuated data centres. */
    val targets: Collection<Target> get() = present.values

    /** Whether [target] is in an evacuated data centre. */
    fun isEvacuated(target: Target): Boolean = target.worker.dataCentre in evacuated

    /** Whether [key] accepts requests, even if none is to be sent to its data centre. */
    fun isPresent(key: TargetKey): Boolean = key in present

    /** The target [key]; null if it no longer accepts requests. */
    fun find(key: TargetKey): Target? = present[key]

    /** This table when the data centres [evacuated] are, and no others. */
    fun without(evacuated: Set<String>): TargetTable =
        if (evacuated == this.evacuated) this else TargetTable(all, dataCentres, present, evacuated)

    companion object {
        /** The table of [fleet] and its open [replicas], by service, with nothing evacuated. */
        operator fun invoke(
            fleet: Fleet,
            services: Collection<Service>,
            replicas: Map<String, List<Replica>>,
        ): TargetTable {
            val all = services.associate { it.name to targetsOf(it, fleet, replicas[it.name].orEmpty()) }
            val dataCentres =
                services.associate { service ->
                    service.name to fleet.ofService(service.name).mapTo(HashSet()) { it.dataCentre }
                }
            return TargetTable(all, dataCentres, all.values.flatten().associateBy { it.key }, emptySet())
        }

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
