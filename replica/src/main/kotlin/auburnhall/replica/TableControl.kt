/*
 * What the process in control of a table does: takes control, writes the steps that the decisions call for, and gives
 * the orders that follow from the table. Another process only tries to take control when it is its turn.
 */
package auburnhall.replica

import auburnhall.core.AssignmentTable
import auburnhall.core.DataCentreId
import auburnhall.core.ProcessId
import auburnhall.core.UsageList
import auburnhall.store.ABSENT

/** Where a [TableControl] reads from. */
internal data class ControlSources(
    val feed: ControlFeed,
    val fleet: EngineFleet,
)

/** Control of one table by the process [self]; used on the control thread. */
internal class TableControl(
    private val dataCentre: DataCentreId,
    private val self: ProcessId,
    environment: ReplicaEnvironment,
    private val listener: ReplicaEventListener,
    private val sources: ControlSources,
) {
    private val tenure = Tenure(self, environment.clock)
    private val resting = RestingInstances()
    private val writer = TableWriter(dataCentre, environment, ::onNews)
    private val orders = OrderSender(environment) { o, result -> listener.onOrder(dataCentre, o, result) }

    /** The processes in the order in which they are to take control. */
    var order = emptyList<ProcessId>()

    /** The operators' list; null before the first was read. */
    var usage: UsageList? = null

    /** Whether this process is being stopped. */
    var isStopping = false

    private val stored: StoredTable? get() = sources.feed.stored(dataCentre)

    /** Whether this process has, or is the first to claim, control, so that it must hear from the engines. */
    val needsEngines: Boolean get() = tenure.isHeld || order.firstOrNull() == self

    /** Does what is due at [now]. */
    fun tick(now: Long) {
        if (sources.feed.isReady && writer.isReady) useStore(now)
        if (tenure.mayAct(now)) giveOrders(now)
    }

    /** The control feed changed. */
    fun onFeed() {
        val held = tenure.isHeld
        val table = stored?.table
        tenure.onTable(table)
        if (tenure.isHeld && !held) listener.onControlTaken(dataCentre, table?.term ?: 0)
        if (held && !tenure.isHeld) listener.onControlLost(dataCentre)
    }

    private fun useStore(now: Long) {
        val s = stored
        val isFit = !isStopping && !sources.fleet.isBlind(now)
        when {
            writer.isUncertain -> writer.read()
            tenure.isHeld && s != null && !isFit -> writer.write(s.table.copy(controller = null), s.revision)
            tenure.isHeld && s != null -> if (tenure.mayAct(now) && sources.fleet.hearsMost(now)) improve(s, now)
            isFit && shouldClaim(ClaimState(self, order, s?.table, tenure.unchangedMillis(now))) -> claim(s)
        }
    }

    private fun claim(stored: StoredTable?) {
        val table = stored?.table ?: AssignmentTable(dataCentre)
        writer.write(table.copy(term = table.term + 1, controller = self), stored?.revision ?: ABSENT)
    }

    private fun improve(
        stored: StoredTable,
        now: Long,
    ) {
        val steps = decide(stored.table, now)
        if (steps.isEmpty()) return
        steps.forEach { listener.onStep(dataCentre, it) }
        tenure.losses.onSteps(steps)
        writer.write(stored.table.after(steps, sources.fleet.stepContext()), stored.revision)
    }

    /** What the members' words call for goes first; placement follows on a table without open questions. */
    private fun decide(
        table: AssignmentTable,
        now: Long,
    ): List<PlacementStep> {
        val view = sources.fleet.view()
        val slow = resting.observe(table, view.health, now)
        val urgent = review(reviewState(table, view, tenure, slow))
        val usage = usage
        if (urgent.isNotEmpty() || usage == null) return urgent
        val held = orders.uncertain(view.health) + resting.at(now)
        val request = PlacementRequest(usage, sources.feed.tables(), tenure.losses.byModel, held)
        return plan(placementState(table, view, request))
    }

    /** Orders follow the table only while the store has confirmed this process's control a moment ago. */
    private fun giveOrders(now: Long) {
        val table = stored?.table ?: return
        val due = orders.due(wantedOrders(table, sources.fleet.view()))
        val until = tenure.ordersUntil()
        when {
            due.isEmpty() -> Unit
            until > now + ORDER_MARGIN_MILLIS -> due.take(MAX_ORDERS_PER_TICK).forEach { orders.send(it, until) }
            writer.isReady -> writer.read()
        }
    }

    private fun onNews(news: TableNews) {
        when (news) {
            is TableNews.Failed -> listener.onStoreFailure(dataCentre, news.message)
            is TableNews.Found -> {
                news.entry?.let { sources.feed.onPut(it) }
                if (news.entry?.revision == stored?.revision) tenure.onConfirmed(news.sentAt)
            }
        }
    }

    private companion object {
        const val ORDER_MARGIN_MILLIS = 1_000L
        const val MAX_ORDERS_PER_TICK = 32
    }
}
