/*
 * The engines of one data centre as a controller sees them: the platform's list, their polled health, and the inputs
 * that the pure decisions need of them.
 */
package auburnhall.replica

import auburnhall.core.AssignmentTable
import auburnhall.core.DataCentreId
import auburnhall.core.InstanceId
import auburnhall.core.InstanceKind
import auburnhall.core.ListedInstance
import auburnhall.core.ListedState
import auburnhall.core.Replica
import auburnhall.core.ReplicaState
import auburnhall.core.UsageList
import auburnhall.engine.StatusResult

/**
 * What placement needs beside the engines.
 *
 * @property tables the assignment tables of all data centres.
 * @property losses replicas of each model lost to failures and not replaced.
 * @property uncertain instances at which an order may still arrive.
 */
internal data class PlacementRequest(
    val usage: UsageList,
    val tables: Map<DataCentreId, AssignmentTable>,
    val losses: Map<String, Int>,
    val uncertain: Set<InstanceId>,
)

/** The engines of [dataCentre]; used on the control thread. */
internal class EngineFleet(
    private val dataCentre: DataCentreId,
    private val environment: ReplicaEnvironment,
) {
    private val clock = environment.clock
    private val book = HealthBook()
    private val poller = EnginePoller(environment.engines, environment.loop, clock, ::onAnswer)
    private var engineCounts = emptyMap<DataCentreId, Int>()
    private var listed = emptyMap<InstanceId, ListedInstance>()
    private var watched = emptyMap<InstanceId, ListedInstance>()
    private var assigned = emptyMap<InstanceId, Replica>()
    private var drained = emptySet<InstanceId>()
    private var polledSince: Long? = null
    private var blindUntil = Long.MIN_VALUE

    /** Takes in the platform's list of all data centres. */
    fun onInstanceList(instances: List<ListedInstance>) {
        val engines = instances.filter { it.kind == InstanceKind.ENGINE }
        engineCounts = engines.filter { it.state == ListedState.LIVE }.groupingBy { it.dataCentre }.eachCount()
        listed = engines.filter { it.dataCentre == dataCentre }.associateBy { it.id }
    }

    /** Polls, if [polls], every engine that is listed or still a member of a replica of [table]. */
    fun tick(
        table: AssignmentTable?,
        drained: Set<InstanceId>,
        polls: Boolean,
    ) {
        this.drained = drained
        assigned =
            table
                ?.replicas
                .orEmpty()
                .flatMap { r -> r.members.map { it to r } }
                .toMap()
        watched = watched.filterKeys { it in assigned } + listed
        val now = clock.monotonicMillis()
        polledSince = if (polls) polledSince ?: now else null
        val targets = if (polls) watched else emptyMap()
        poller.aim(targets.mapValues { it.value.address })
        book.retain(targets.keys + if (polls) assigned.keys else emptySet())
        (targets.keys + if (polls) assigned.keys else emptySet()).forEach { book.asked(it, now) }
        poller.tick()
        if (hasGoneBlind(now)) blindUntil = now + ReplicaTiming.BLIND_HOLD_MILLIS
    }

    /** Tells whether so few engines answer that the fault is likely this process's own connection. */
    fun isBlind(now: Long): Boolean = now < blindUntil

    /**
     * Tells whether enough engines answer for the silence of one to be its own. Judged by a shorter silence than that
     * of a lost engine, so that an engine is given up only by a process that still hears others.
     */
    fun hearsMost(now: Long): Boolean {
        val health = book.all.values
        return health.isEmpty() || health.count { it.isPresent(now) } * BLIND_DIVISOR >= health.size
    }

    /** Tells whether this process polls the engines and hears from them. */
    fun seesEngines(now: Long): Boolean =
        polledSince != null && !isBlind(now) && (listed.isEmpty() || book.all.values.any { it.isPresent(now) })

    /** The engines as of now. */
    fun view(): EngineView =
        EngineView(
            clock.monotonicMillis(),
            book.all,
            watched.mapValues { it.value.address },
            watched.filterValues { !it.honoursFencing }.keys,
            leaving(),
        )

    /** What changing a table needs to know of the engines. */
    fun stepContext(): StepContext {
        val now = clock.monotonicMillis()
        val safe = watched.filterValues { it.honoursFencing }.keys.filter { book.all[it]?.isPresent(now) ?: false }
        val generations = book.all.mapValues { it.value.status?.generation ?: 0 }
        return StepContext(assigned.keys - safe.toSet(), generations)
    }

    /** What [review] needs. */
    fun reviewState(
        table: AssignmentTable,
        tenure: Tenure,
    ): ReviewState =
        ReviewState(
            nowMillis = clock.monotonicMillis(),
            table = table,
            health = book.all,
            since = tenure.since(),
            quarantinedSince = tenure.quarantinedSince(),
            leaving = leaving(),
            stragglers = emptySet(),
            listed = listed.keys,
        )

    /** What [plan] needs. */
    fun placementState(
        table: AssignmentTable,
        request: PlacementRequest,
    ): PlacementState {
        val now = clock.monotonicMillis()
        val used = table.replicas.flatMap { it.members } + table.quarantined.map { it.instance } + request.uncertain
        val free = listed.keys - used.toSet() - leaving()
        return PlacementState(
            table = table,
            free = free.filter { isUsable(it, now) }.toSet(),
            domains = listed.mapValues { it.value.fabricDomain },
            needs = needs(request),
            idle =
                table.replicas
                    .filter { isIdle(it, now) }
                    .map { it.id }
                    .toSet(),
            maxForming = environment.maxForming,
        )
    }

    private fun needs(request: PlacementRequest): List<ModelNeed> =
        request.usage.models.map { spec ->
            val total = request.tables.values.sumOf { t -> t.replicas.count { it.model == spec.name } }
            val share = replicaShares(spec, engineCounts)[dataCentre] ?: 0
            ModelNeed(spec, share, total, request.losses[spec.name] ?: 0)
        }

    private fun isUsable(
        instance: InstanceId,
        now: Long,
    ): Boolean = book.all[instance]?.let { it.isPresent(now) && it.isIdle } ?: false

    private fun isIdle(
        replica: Replica,
        now: Long,
    ): Boolean {
        val since = book.all[replica.leader]?.idleSince ?: return false
        return replica.state == ReplicaState.SERVING && now - since >= IDLE_MILLIS
    }

    private fun leaving(): Set<InstanceId> {
        val byPlatform = watched.filterValues { it.state == ListedState.LEAVING }.keys
        return drained + byPlatform + book.all.filterValues { it.status?.leaving ?: false }.keys
    }

    private fun hasGoneBlind(now: Long): Boolean {
        val since = polledSince ?: return false
        val asked = book.all.values.filter { now - it.askedSince > ReplicaTiming.LOST_MILLIS }
        val heard = asked.count { !it.isLost(now) }
        return now - since > ReplicaTiming.LOST_MILLIS && asked.isNotEmpty() && heard * BLIND_DIVISOR < asked.size
    }

    private fun onAnswer(answer: PollAnswer) {
        val status = (answer.result as? StatusResult.Success)?.status ?: return
        if (status.instance != answer.instance) return
        val now = clock.monotonicMillis()
        book.update(answer.instance) { it.answered(status, answer.sentAt, now, assigned[answer.instance]) }
    }

    private companion object {
        const val IDLE_MILLIS = 30_000L
        const val BLIND_DIVISOR = 4
    }
}
