/*
 * The engines of one data centre as a controller sees them: the platform's list and their polled health.
 */
package auburnhall.replica

import auburnhall.core.AssignmentTable
import auburnhall.core.DataCentreId
import auburnhall.core.InstanceId
import auburnhall.core.InstanceKind
import auburnhall.core.ListedInstance
import auburnhall.core.ListedState
import auburnhall.core.Replica
import auburnhall.engine.StatusResult

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
            listed.mapValues { it.value.fabricDomain },
            engineCounts,
            environment.maxForming,
        )

    /** What changing a table needs to know of the engines. */
    fun stepContext(): StepContext {
        val now = clock.monotonicMillis()
        val safe = watched.filterValues { it.honoursFencing }.keys.filter { book.all[it]?.isPresent(now) ?: false }
        val generations = book.all.mapValues { it.value.status?.generation ?: 0 }
        return StepContext(assigned.keys - safe.toSet(), generations)
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
        const val BLIND_DIVISOR = 4
    }
}
