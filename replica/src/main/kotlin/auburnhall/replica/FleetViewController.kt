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
import auburnhall.store.Keys
import auburnhall.store.StoreEntry

/** Keeps the [FleetView] of one entry process. Inputs come on the control thread; [view] may be read on any. */
interface FleetViewController {
    /** The latest view; never blocks. */
    fun view(): FleetView

    /** All keys under [Keys.CONTROL], read anew. */
    fun onSnapshot(entries: List<StoreEntry>)

    /** One key under [Keys.CONTROL] was written. */
    fun onPut(entry: StoreEntry)

    /** One key under [Keys.CONTROL] was deleted. */
    fun onDelete(key: String)

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
    val replicas = inputs.tables.values.flatMap { t -> t.replicas.mapNotNull { status(it, t.dataCentre, inputs) } }
    val services = inputs.instances.filter { it.state == ListedState.LIVE && it.id !in inputs.drained }
    return FleetView(
        replicas.filterNot { it.presentUntil.hasPassed(nowMillis) },
        services.mapNotNull { service(it) },
    )
}

private fun status(
    replica: Replica,
    dataCentre: DataCentreId,
    inputs: FleetInputs,
): ReplicaStatus? {
    val timed = inputs.loads[dataCentre] ?: return null
    val load = timed.load.replicas.find { it.replica == replica.id && it.generation == replica.generation }
    val serving = replica.state == ReplicaState.SERVING && load != null && !load.draining
    if (!serving || load.presenceAgeMillis == ReplicaLoad.NEVER_PRESENT) return null
    val until = timed.madeAtMillis - load.presenceAgeMillis + ReplicaTiming.PRESENCE_MILLIS
    return ReplicaStatus(
        replica = replica,
        dataCentre = dataCentre,
        leaderAddress = load.leaderAddress,
        presentUntil = Deadline(until),
        capacity = load.capacity,
        running = load.running,
        queued = load.queued,
        reportedAt = timed.madeAtMillis,
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
) : FleetViewController {
    private val feed = ControlFeed()
    private var inputs = FleetInputs()

    @Volatile
    private var published = FleetView()

    override fun view(): FleetView = published

    override fun onSnapshot(entries: List<StoreEntry>) {
        feed.onSnapshot(entries)
        onFeed()
    }

    override fun onPut(entry: StoreEntry) {
        if (feed.onPut(entry)) onFeed()
    }

    override fun onDelete(key: String) {
        if (feed.onDelete(key)) onFeed()
    }

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
