/*
 * Checks what must always hold of replicas against what the engines and the store really saw.
 */
package auburnhall.replica

import auburnhall.core.InstanceId
import auburnhall.core.Replica
import auburnhall.core.ReplicaId
import auburnhall.core.ReplicaState
import auburnhall.engine.EngineOrder
import kotlin.random.Random

/** Sends requests by the views of [world]'s processes and collects every violation; [check] comes after each step. */
internal class Invariants(
    private val world: ReplicaWorld,
) {
    private val random = Random(world.seed)
    private val lastWhole = HashMap<Pair<InstanceId, ReplicaId>, Long>()
    private var ordersSeen = 0

    /** What was found, in words. */
    val violations = LinkedHashSet<String>()

    /** Requests that engines really ran. */
    var served = 0
        private set

    fun check() {
        val now = world.clock.monotonicMillis()
        noteWhole(now)
        world.processes.filter { it.isUp }.forEach { checkViews(it, now) }
        checkShared()
        while (ordersSeen < world.engines.orders.size) checkOrder(world.engines.orders[ordersSeen++])
        checkTables()
    }

    /** When each engine was last really a working part of its replica. */
    private fun noteWhole(now: Long) =
        world.engines.engines.forEach { (id, e) ->
            val f = e.form
            if (f != null && e.isWhole) lastWhole[id to f.replica] = now
        }

    private fun views(process: FakeProcess): List<Replica> {
        val now = world.clock.monotonicMillis()
        return process.fleet
            .view()
            .replicas
            .filterNot { it.presentUntil.hasPassed(now) }
            .map { it.replica }
    }

    private fun checkViews(
        process: FakeProcess,
        now: Long,
    ) = views(process).forEach { r ->
        val oldest = r.members.minOf { lastWhole[it to r.id] ?: 0 }
        val age = now - oldest
        if (age > ReplicaTiming.PRESENCE_MILLIS) found("${r.id} is listed though a member was last whole long ago")
        if (random.nextInt(SEND_ONE_IN) == 0) send(process, r)
    }

    /** A request runs on the replica that it was sent to, and the table knows that replica. */
    private fun send(
        process: FakeProcess,
        replica: Replica,
    ) {
        val held = world.engines[replica.leader].run(replica, random.nextLong(MAX_REQUEST_MILLIS)) ?: return
        served += 1
        if (held.replica != replica.id) found("${held.replica} served work for ${replica.id}")
        val listed = world.table().replicas.any { it.id == replica.id && it.state != ReplicaState.FORMING }
        if (!listed && !process.isCutOff) found("${replica.id} served work though the table does not list it")
    }

    /** No instance is part of two replicas that requests are routed to, over all processes. */
    private fun checkShared() {
        val routed =
            world.processes
                .filter { it.isUp }
                .flatMap { views(it) }
                .distinctBy { it.id }
        val members = routed.flatMap { it.members }
        if (members.distinct().size != members.size) found("an instance is in two replicas that serve")
    }

    private fun checkOrder(seen: SeenOrder) {
        val form = seen.order as? EngineOrder.Form
        val written = world.tables.any { t -> t.table.replicas.any { isOrderOf(it, form) } }
        if (form != null && !written) found("an order for ${form.replica} came that no table held")
        val cut = seen.before?.takeIf { seen.cutOff > 0 && wasWhole(it, seen.atMillis) }
        if (cut != null && world.processes.none { it.isCutOff }) found("${cut.replica} was broken while it had work")
        val since = world.tables.lastOrNull { it.table.controller == seen.sender && it.atMillis <= seen.sentAtMillis }
        val after = world.tables.find { since != null && it.table.term > since.table.term }
        val late = after != null && seen.sentAtMillis - after.atMillis >= ReplicaTiming.ORDER_WINDOW_MILLIS
        if (since == null || late) found("an order of ${seen.sender} came, which is not in control")
    }

    private fun isOrderOf(
        replica: Replica,
        form: EngineOrder.Form?,
    ) = replica.id == form?.replica &&
        replica.generation == form.generation &&
        replica.members == form.members.map { it.instance }

    /** Whether the replica had all its members a moment before. */
    private fun wasWhole(
        form: EngineOrder.Form,
        atMillis: Long,
    ) = form.members.all { (lastWhole[it.instance to form.replica] ?: 0) >= atMillis - ReplicaTiming.TICK_MILLIS }

    private fun checkTables() {
        world.tables.zipWithNext().takeLast(1).forEach { (a, b) ->
            if (a.table.controller != b.table.controller && b.table.controller != null) {
                if (b.table.term != a.table.term + 1) found("control changed without a new term")
            }
            val old =
                a.table.replicas
                    .map { it.id }
                    .toSet()
            val stale = b.table.replicas.filter { it.id !in old && it.generation <= a.table.lastGeneration }
            if (stale.isNotEmpty()) found("a generation was given again")
        }
    }

    private fun found(what: String) {
        violations += what
    }

    private companion object {
        const val SEND_ONE_IN = 8
        const val MAX_REQUEST_MILLIS = 6_000L
    }
}
