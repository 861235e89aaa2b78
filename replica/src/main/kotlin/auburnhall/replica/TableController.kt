/*
 * The controller of one data centre's assignment table. Every entry process runs one for each data centre; the one that
 * holds the table's control forms, heals and dissolves replicas, the others only poll engines when asked for load news.
 */
package auburnhall.replica

import auburnhall.core.AssignmentTable
import auburnhall.core.Clock
import auburnhall.core.Configuration
import auburnhall.core.ControlLoop
import auburnhall.core.DataCentreId
import auburnhall.core.ListedInstance
import auburnhall.core.ProcessId
import auburnhall.engine.EngineClient
import auburnhall.engine.EngineOrder
import auburnhall.engine.OrderResult
import auburnhall.membership.MembershipView
import auburnhall.store.ABSENT
import auburnhall.store.KeyValueStore
import auburnhall.store.StoreEntry
import kotlin.random.Random

/**
 * What replica control works with.
 *
 * @property maxForming replicas that may load at once in a data centre, by the weight store's rate.
 */
data class ReplicaEnvironment(
    val store: KeyValueStore,
    val engines: EngineClient,
    val loop: ControlLoop,
    val clock: Clock,
    val random: Random = Random.Default,
    val maxForming: Int = PlacementState.DEFAULT_MAX_FORMING,
)

/** Is told of each step of replica control, on the control thread. */
interface ReplicaEventListener {
    /** This process took control of the table in [term]. */
    fun onControlTaken(
        dataCentre: DataCentreId,
        term: Long,
    ) = Unit

    /** This process no longer controls the table. */
    fun onControlLost(dataCentre: DataCentreId) = Unit

    /** [step] is being written to the table. */
    fun onStep(
        dataCentre: DataCentreId,
        step: PlacementStep,
    ) = Unit

    /** [order] was given to an instance. */
    fun onOrder(
        dataCentre: DataCentreId,
        order: EngineOrder,
        result: OrderResult,
    ) = Unit

    /** A call to the store failed. */
    fun onStoreFailure(
        dataCentre: DataCentreId,
        message: String,
    ) = Unit

    companion object {
        /** Listens to nothing. */
        val NONE = object : ReplicaEventListener {}
    }
}

/** Controls one assignment table. All functions but [loadReport] are called on the control thread. */
interface TableController {
    /** All control keys, read anew. */
    fun onSnapshot(entries: List<StoreEntry>)

    /** One control key was written. */
    fun onPut(entry: StoreEntry)

    /** One control key was deleted. */
    fun onDelete(key: String)

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
    private val self: ProcessId,
    private val environment: ReplicaEnvironment,
    private val listener: ReplicaEventListener,
) : TableController {
    private val clock = environment.clock
    private val feed = ControlFeed()
    private val fleet = EngineFleet(dataCentre, environment)
    private val tenure = Tenure(self, clock)
    private val writer = TableWriter(dataCentre, environment, ::onNews)
    private val sender = OrderSender(environment.engines, environment.loop, clock, ::onDelivery)
    private var order = emptyList<ProcessId>()
    private var configuration: Configuration? = null
    private var stopping = false

    @Volatile
    private var askedAt = Long.MIN_VALUE

    @Volatile
    private var published = DataCentreLoad(dataCentre, controller = false, asOfMillis = clock.monotonicMillis())

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

    override fun onInstanceList(instances: List<ListedInstance>) = fleet.onInstanceList(instances)

    override fun onConfiguration(configuration: Configuration) {
        this.configuration = configuration
    }

    override fun onMembership(view: MembershipView) {
        order = controlOrder(view, dataCentre)
    }

    override fun onStopping() {
        stopping = true
    }

    override fun loadReport(): DataCentreLoad {
        val now = clock.monotonicMillis()
        askedAt = now
        return published.asOf(now)
    }

    override fun tick() {
        val now = clock.monotonicMillis()
        val polls = tenure.isHeld || order.firstOrNull() == self || askedAt > now - ReplicaTiming.ASKED_MILLIS
        fleet.tick(feed.stored(dataCentre)?.table, feed.drained(), polls)
        if (feed.isReady && writer.isReady) useStore(now)
        if (tenure.mayAct(now)) sendOrders(now)
        publish(now)
    }

    private fun useStore(now: Long) {
        val stored = feed.stored(dataCentre)
        val mayClaim = !stopping && !fleet.isBlind(now)
        when {
            writer.isUncertain -> writer.read()
            tenure.isHeld && stored != null && !mayClaim -> giveUp(stored)
            tenure.mayAct(now) && stored != null && fleet.hearsMost(now) -> improve(stored)
            tenure.isHeld -> Unit
            mayClaim && shouldClaim(claimState(stored, now)) -> claim(stored)
        }
    }

    private fun claimState(
        stored: StoredTable?,
        now: Long,
    ) = ClaimState(self, order, stored?.table, tenure.unchangedMillis(now))

    private fun claim(stored: StoredTable?) {
        val table = stored?.table ?: AssignmentTable(dataCentre)
        writer.write(table.copy(term = table.term + 1, controller = self), stored?.revision ?: ABSENT)
    }

    private fun giveUp(stored: StoredTable) = writer.write(stored.table.copy(controller = null), stored.revision)

    private fun improve(stored: StoredTable) {
        val steps = decide(stored.table)
        if (steps.isEmpty()) return
        steps.forEach { listener.onStep(dataCentre, it) }
        tenure.onSteps(steps)
        writer.write(stored.table.after(steps, fleet.stepContext()), stored.revision)
    }

    /** What the members' words call for goes first; placement follows on a table without open questions. */
    private fun decide(table: AssignmentTable): List<PlacementStep> {
        val urgent = review(fleet.reviewState(table, tenure))
        val usage = configuration?.usage
        if (urgent.isNotEmpty() || usage == null) return urgent
        val request = PlacementRequest(usage, feed.tables(), tenure.losses(), sender.uncertain())
        return plan(fleet.placementState(table, request))
    }

    /** Orders follow the table only while the store has confirmed this process's control a moment ago. */
    private fun sendOrders(now: Long) {
        val table = feed.stored(dataCentre)?.table ?: return
        val due = sender.due(wantedOrders(table, fleet.view()))
        if (due.isEmpty()) return
        val until = tenure.ordersUntil()
        if (until > now + ORDER_MARGIN_MILLIS) {
            due.take(MAX_ORDERS_PER_TICK).forEach { sender.send(it, until) }
        } else if (writer.isReady) {
            writer.read()
        }
    }

    private fun onDelivery(
        order: AddressedOrder,
        delivery: Delivery,
    ) {
        if (delivery is Delivery.Sent) listener.onOrder(dataCentre, order.order, delivery.result)
    }

    private fun onNews(news: TableNews) {
        when (news) {
            is TableNews.Failed -> listener.onStoreFailure(dataCentre, news.message)
            is TableNews.Found -> {
                news.entry?.let { feed.onPut(it) }
                onFeed()
                if (news.entry?.revision == feed.stored(dataCentre)?.revision) tenure.onConfirmed(news.sentAt)
            }
        }
    }

    private fun onFeed() {
        val held = tenure.isHeld
        val table = feed.stored(dataCentre)?.table
        tenure.onTable(table)
        if (tenure.isHeld && !held) listener.onControlTaken(dataCentre, table?.term ?: 0)
        if (held && !tenure.isHeld) listener.onControlLost(dataCentre)
    }

    private fun publish(now: Long) {
        val table = feed.stored(dataCentre)?.table ?: AssignmentTable(dataCentre)
        val replicas = loadOf(table, fleet.view())
        published = DataCentreLoad(dataCentre, fleet.seesEngines(now), now, replicas)
    }

    private companion object {
        const val ORDER_MARGIN_MILLIS = 1_000L
        const val MAX_ORDERS_PER_TICK = 32
    }
}
