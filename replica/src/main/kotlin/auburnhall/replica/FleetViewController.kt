/*
 * Combines the assignment tables, the platform's list and the load news into the view that routing reads.
 */
package auburnhall.replica

import auburnhall.core.AssignmentTable
import auburnhall.core.Clock
import auburnhall.core.DataCentreId
import auburnhall.core.Deadline
import auburnhall.core.FleetView
import auburnhall.core.InstanceId
import auburnhall.core.InstanceKind
import auburnhall.core.ListedInstance
import auburnhall.core.ListedState
import auburnhall.core.Replica
import auburnhall.core.ReplicaState
import auburnhall.core.ReplicaStatus
import auburnhall.core.ServiceInstance

/** Keeps the [FleetView] of one entry process. Inputs come on the control thread; [view] may be read on any. */
interface FleetViewController : ControlKeyListener {
    /** The latest view; never blocks. */
    fun view(): FleetView

    /** The platform's list was read. */
    fun onInstanceList(instances: List<ListedInstance>)

    /** A report came that was made at [madeAtMillis] of this process's clock or later; see [ReportTimeline]. */
    fun onLoad(
        load: DataCentreLoad,
        madeAtMillis: Long,
    )

    /** Drops the replicas whose members were last seen too long ago. Call every [ReplicaTiming.TICK_MILLIS]. */
    fun tick()
}

/** Returns a [FleetViewController] with an empty view. */
fun FleetViewController(clock: Clock): FleetViewController = RealFleetViewController(clock)

/** A report and the earliest moment at which it was made. */
internal data class TimedLoad(
    val load: DataCentreLoad,
    val madeAtMillis: Long,
)

/** What [fleetView] combines. */
internal data class FleetInputs(
    val tables: Map<DataCentreId, AssignmentTable> = emptyMap(),
    val loads: Map<DataCentreId, TimedLoad> = emptyMap(),
    val instances: List<ListedInstance> = emptyList(),
    val drained: Set<InstanceId> = emptySet(),
)

/** The view at [nowMillis]. A replica is listed while it is serving and all members were seen lately. */
internal fun fleetView(
    inputs: FleetInputs,
    nowMillis: Long,
): FleetView {
    val (live, leaving) = inputs.instances.partition { it.state == ListedState.LIVE }
    val unwanted = inputs.drained + leaving.map { it.id }
    val replicas = inputs.tables.values.flatMap { replicas(it, inputs.loads[it.dataCentre], unwanted) }
    return FleetView(
        replicas.filterNot { it.presentUntil.hasPassed(nowMillis) },
        live.filter { it.id !in unwanted }.mapNotNull { service(it) },
    )
}

private fun replicas(
    table: AssignmentTable,
    timed: TimedLoad?,
    unwanted: Set<InstanceId>,
): List<ReplicaStatus> {
    if (timed == null) return emptyList()
    val loads = timed.load.replicas.associateBy { it.replica to it.generation }
    return table.replicas
        .filter { r -> r.state == ReplicaState.SERVING && r.members.none { it in unwanted } }
        .mapNotNull { r -> loads[r.id to r.generation]?.let { status(r, table.dataCentre, it, timed.madeAtMillis) } }
}

private fun status(
    replica: Replica,
    dataCentre: DataCentreId,
    load: ReplicaLoad,
    madeAt: Long,
): ReplicaStatus? {
    if (load.draining || load.presenceAgeMillis == ReplicaLoad.NEVER_PRESENT) return null
    return ReplicaStatus(
        replica = replica,
        dataCentre = dataCentre,
        leaderAddress = load.leaderAddress,
        presentUntil = Deadline(madeAt - load.presenceAgeMillis + ReplicaTiming.PRESENCE_MILLIS),
        capacity = load.capacity,
        running = load.running,
        queued = load.queued,
        reportedAt = madeAt,
        tokensPerSecond = load.tokensPerSecond,
        prefixes = load.prefixes.toSet(),
    )
}

private fun service(instance: ListedInstance): ServiceInstance? {
    val name = instance.service
    if (instance.kind != InstanceKind.SERVICE || name == null) return null
    return ServiceInstance(instance.id, name, instance.address, instance.dataCentre)
}

internal class RealFleetViewController(
    private val clock: Clock,
    private val feed: ControlFeed = ControlFeed(),
) : FleetViewController,
    ControlKeyListener by feed {
    private var inputs = FleetInputs()

    @Volatile
    private var published = FleetView()

    init {
        feed.onChange = ::onFeed
    }

    override fun view(): FleetView = published

    override fun onInstanceList(instances: List<ListedInstance>) {
        inputs = inputs.copy(instances = instances)
        publish()
    }

    override fun onLoad(
        load: DataCentreLoad,
        madeAtMillis: Long,
    ) {
        if (!load.controller) return
        inputs = inputs.copy(loads = inputs.loads + (load.dataCentre to TimedLoad(load, madeAtMillis)))
        publish()
    }

    override fun tick() = publish()

    private fun onFeed() {
        inputs = inputs.copy(tables = feed.tables(), drained = feed.drained())
        publish()
    }

    private fun publish() {
        published = fleetView(inputs, clock.monotonicMillis())
    }
}
