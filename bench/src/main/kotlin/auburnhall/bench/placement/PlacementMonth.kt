/*
 * One data centre through one month on virtual time: outages strike, the placement decision that ships is asked when
 * something has changed, and its steps take the time that detection, draining and loading take.
 */
package auburnhall.bench.placement

import auburnhall.core.AssignmentTable
import auburnhall.core.InstanceId
import auburnhall.core.ModelSpec
import auburnhall.core.Replica
import auburnhall.core.ReplicaId
import auburnhall.core.ReplicaState
import auburnhall.replica.ModelNeed
import auburnhall.replica.PlacementState
import auburnhall.replica.PlacementStep
import auburnhall.replica.ReplicaTiming

/** A way to place: the model's entry in the list, and the decision. */
internal data class PlacementPolicy(
    val name: String,
    val spec: ModelSpec,
    val decide: (PlacementState) -> List<PlacementStep>,
)

/** Sums over one month, in seconds times replicas or instances. */
internal data class MonthSums(
    val wanted: Double = 0.0,
    val downtime: Double = 0.0,
    val shortOfNeed: Double = 0.0,
    val stranded: Double = 0.0,
    val serving: Double = 0.0,
    val crossDomain: Double = 0.0,
    val bound: Double = 0.0,
) {
    operator fun plus(o: MonthSums) =
        MonthSums(
            wanted + o.wanted,
            downtime + o.downtime,
            shortOfNeed + o.shortOfNeed,
            stranded + o.stranded,
            serving + o.serving,
            crossDomain + o.crossDomain,
            bound + o.bound,
        )
}

private const val STEP_SECONDS = 10L
private const val MILLIS = 1_000L
private const val HOUR_SECONDS = 3_600L
private const val DAY_HOURS = 24
private const val NIGHT_FROM_HOUR = 2
private const val NIGHT_UNTIL_HOUR = 5
private val NIGHT_HOURS = NIGHT_FROM_HOUR until NIGHT_UNTIL_HOUR
private const val IDLE_ONE_IN = 5

/** Seconds to load one replica when the weight store feeds no other in the data centre. */
internal const val LOAD_SECONDS = 200L

/** Share of the replicas of a healthy fleet that the plans need. */
private const val NEED_PERCENT = 90
private const val PERCENT = 100

/** Runs [policy] over [fleet], one data centre, through [outages]. */
internal class PlacementMonth(
    private val fleet: List<FleetInstance>,
    outages: List<Outage>,
    private val policy: PlacementPolicy,
) {
    private val size = policy.spec.instancesPerReplica
    private val domains = fleet.associate { it.id to it.domain }
    private val ids = fleet.map { it.id }.toSet()
    private val pending = ArrayDeque(outages.filter { it.instance in ids })
    private val awayUntil = HashMap<InstanceId, Long>()
    private val readyAt = HashMap<ReplicaId, Long>()
    private val goneAt = HashMap<ReplicaId, Long>()
    private var table = AssignmentTable(fleet.first().dataCentre)
    private var losses = 0
    private var changed = true
    private var most = 0
    private var lastSample = MonthSums()
    private val need = ids.size / size * NEED_PERCENT / PERCENT
    private val since = detectionSeconds()

    /** The month's sums; the time until all replicas have loaded for the first time is left out. */
    fun run(): MonthSums {
        var sums = MonthSums()
        for (now in 0 until MONTH_SECONDS step STEP_SECONDS) {
            if (step(now)) lastSample = sample()
            if (now >= HOUR_SECONDS) sums += lastSample
        }
        return sums
    }

    /** Tells whether anything has changed. */
    private fun step(now: Long): Boolean {
        strike(now)
        finish(now)
        val hasChanged = changed || now % HOUR_SECONDS == 0L
        changed = false
        if (hasChanged) decide(now)
        return hasChanged
    }

    private fun strike(now: Long) {
        if (awayUntil.values.removeIf { it <= now }) changed = true
        while (pending.isNotEmpty() && pending.first().fromSeconds <= now) {
            val o = pending.removeFirst()
            awayUntil.merge(o.instance, o.untilSeconds, ::maxOf)
            changed = true
            table.replicas.filter { o.instance in it.members }.forEach { goneAt.putIfAbsent(it.id, now + since) }
        }
    }

    private fun finish(now: Long) {
        val gone = table.replicas.filter { (goneAt[it.id] ?: Long.MAX_VALUE) <= now }
        val ready = table.replicas.filter { it.state == ReplicaState.FORMING && readyAt.getValue(it.id) <= now }
        if (gone.isEmpty() && ready.isEmpty()) return
        losses += gone.count { it.state != ReplicaState.DRAINING }
        val kept = table.replicas - gone.toSet()
        table = table.copy(replicas = kept.map { if (it in ready) it.copy(state = ReplicaState.SERVING) else it })
        gone.forEach { goneAt.remove(it.id) }
        changed = true
    }

    private fun decide(now: Long) {
        val used = table.replicas.flatMap { it.members }.toSet()
        val state =
            PlacementState(
                table = table,
                free = ids - used - awayUntil.keys,
                domains = domains,
                needs = listOf(ModelNeed(policy.spec, Int.MAX_VALUE, table.replicas.size, losses)),
                idle = idle(now),
            )
        policy.decide(state).forEach { apply(it, now) }
    }

    private fun idle(now: Long): Set<ReplicaId> {
        val isNight = (now / HOUR_SECONDS % DAY_HOURS).toInt() in NIGHT_HOURS
        val serving = table.replicas.filter { it.state == ReplicaState.SERVING && it.id !in goneAt }
        return if (isNight) serving.filter { it.generation % IDLE_ONE_IN == 0L }.map { it.id }.toSet() else emptySet()
    }

    private fun apply(
        step: PlacementStep,
        now: Long,
    ) {
        when (step) {
            is PlacementStep.Form -> form(step, now)
            is PlacementStep.Drain -> drain(step.replica, now)
            else -> error("placement of one listed model gives no $step")
        }
    }

    private fun form(
        step: PlacementStep.Form,
        now: Long,
    ) {
        val generation = table.lastGeneration + 1
        val id = ReplicaId("r$generation")
        val replica = Replica(id, step.model, step.modelVersion, step.members, generation, ReplicaState.FORMING)
        table = table.copy(lastGeneration = generation, replicas = table.replicas + replica)
        readyAt[id] = now + LOAD_SECONDS * table.replicas.count { it.state == ReplicaState.FORMING }
        losses = maxOf(0, losses - 1)
    }

    private fun drain(
        id: ReplicaId,
        now: Long,
    ) {
        table =
            table.copy(
                replicas =
                    table.replicas.map {
                        if (it.id ==
                            id
                        ) {
                            it.copy(state = ReplicaState.DRAINING)
                        } else {
                            it
                        }
                    },
            )
        goneAt[id] = now + ReplicaTiming.DRAIN_SETTLE_MILLIS / MILLIS + STEP_SECONDS
    }

    /** What one step adds. A replica with a member away does not serve, whether that is known yet or not. */
    private fun sample(): MonthSums {
        val whole = table.replicas.filter { r -> r.state == ReplicaState.SERVING && r.members.none { it in awayUntil } }
        most = maxOf(most, whole.size)
        val live = ids - awayUntil.keys
        val seconds = STEP_SECONDS.toDouble()
        return MonthSums(
            wanted = most * seconds,
            downtime = (most - whole.size) * seconds,
            shortOfNeed = maxOf(0, need - whole.size) * seconds,
            stranded = (live.size - whole.size * size) * seconds,
            serving = whole.size * seconds,
            crossDomain =
                whole.count { r ->
                    r.members
                        .map { domains[it] }
                        .distinct()
                        .size > 1
                } * seconds,
            bound = live.size / size * seconds,
        )
    }
}

/** From a member's last sign of life until its replica is out of the table and its other members are idle. */
private fun detectionSeconds(): Long =
    (ReplicaTiming.LOST_MILLIS + ReplicaTiming.DRAIN_SETTLE_MILLIS + 2 * ReplicaTiming.POLL_PERIOD_MILLIS) / MILLIS
