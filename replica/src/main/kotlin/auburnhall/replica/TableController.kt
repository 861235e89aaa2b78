/*
 * The controller of one data centre's assignment table. Every entry process runs one for each data centre; the one that
 * holds the table's control forms, heals and dissolves replicas, the others only poll engines when asked for load news.
 */
package auburnhall.replica

import auburnhall.core.AssignmentTable
import auburnhall.core.Configuration
import auburnhall.core.DataCentreId
import auburnhall.core.ListedInstance
import auburnhall.core.ProcessId
import auburnhall.membership.MembershipView

/** Controls one assignment table. All functions but [loadReport] are called on the control thread. */
interface TableController : ControlKeyListener {
    /** The platform's list, of all data centres, was read. */
    fun onInstanceList(instances: List<ListedInstance>)

    /** A newer configuration came. */
    fun onConfiguration(configuration: Configuration)

    /** The view of the entry processes changed. */
    fun onMembership(view: MembershipView)

    /** This process is being stopped: it gives control up and claims it no more. */
    fun onStopping()

    /** Does what is due. Call every [ReplicaTiming.TICK_MILLIS]. */
    fun tick()

    /** The load news as of now. Engines are polled while this is called. Any thread. */
    fun loadReport(): DataCentreLoad
}

/** Returns a [TableController] of [dataCentre]'s table for the process [self]. */
fun TableController(
    dataCentre: DataCentreId,
    self: ProcessId,
    environment: ReplicaEnvironment,
    listener: ReplicaEventListener = ReplicaEventListener.NONE,
): TableController = RealTableController(dataCentre, self, environment, listener)

internal class RealTableController(
    private val dataCentre: DataCentreId,
    self: ProcessId,
    environment: ReplicaEnvironment,
    listener: ReplicaEventListener,
    private val feed: ControlFeed = ControlFeed(),
) : TableController,
    ControlKeyListener by feed {
    private val clock = environment.clock
    private val fleet = EngineFleet(dataCentre, environment)
    private val control = TableControl(dataCentre, self, environment, listener, ControlSources(feed, fleet))

    @Volatile
    private var askedAt: Long? = null

    @Volatile
    private var published = DataCentreLoad(dataCentre, controller = false, asOfMillis = clock.monotonicMillis())

    init {
        feed.onChange = control::onFeed
    }

    override fun onInstanceList(instances: List<ListedInstance>) = fleet.onInstanceList(instances)

    override fun onConfiguration(configuration: Configuration) {
        control.usage = configuration.usage
    }

    override fun onMembership(view: MembershipView) {
        control.order = controlOrder(view, dataCentre)
    }

    override fun onStopping() {
        control.isStopping = true
    }

    override fun loadReport(): DataCentreLoad {
        val now = clock.monotonicMillis()
        askedAt = now
        return published.asOf(now)
    }

    override fun tick() {
        val now = clock.monotonicMillis()
        val asked = askedAt?.let { now - it < ReplicaTiming.ASKED_MILLIS } ?: false
        fleet.tick(feed.stored(dataCentre)?.table, feed.drained(), asked || control.needsEngines)
        control.tick(now)
        publish(now)
    }

    private fun publish(now: Long) {
        val table = feed.stored(dataCentre)?.table ?: AssignmentTable(dataCentre)
        val replicas = loadOf(table, fleet.view())
        published = DataCentreLoad(dataCentre, fleet.seesEngines(now), now, replicas)
    }
}
