/*
 * Brings replicas from the choice of their members to the state in which they take requests: each member leaves what
 * it was in, joins and reports ready; only then is the head ordered to open.
 */
package auburnhall.replica

import auburnhall.core.Membership
import auburnhall.core.Model
import auburnhall.core.ReplicaName
import auburnhall.core.Worker
import auburnhall.core.log

/** The replicas that are being formed. Control thread only. */
class Formations(
    private val scope: ControllerScope,
    private val watch: MemberWatch,
    /** Called when a replica is given up whose head may be open. */
    private val onOpenedGivenUp: (Forming, cause: String) -> Unit,
) {
    private val forming = LinkedHashMap<String, Forming>()

    /** The orders to join. */
    val joins = Joins(scope.clock)

    /** The replicas that are being formed now. */
    val all: Collection<Forming> get() = forming.values

    /** Whether [key] is being formed. */
    operator fun contains(key: ReplicaEpoch): Boolean = forming[key.replica]?.key == key

    /** Begins a replica of [model] with [members], [cold] of which fetch weights. */
    fun begin(
        model: Model,
        members: List<Worker>,
        cold: Int,
        spare: Boolean,
    ): Forming {
        val epoch = scope.term.nextEpoch()
        val patience = if (cold > 0) model.loadMs * LOAD_PATIENCE + GIVE_UP_MS else model.warmMs + GIVE_UP_MS
        val replica =
            Forming(
                key = ReplicaEpoch(ReplicaName.of(model.name, epoch), epoch),
                model = model.name,
                members = members,
                giveUpAt = scope.clock.nowMs() + patience,
                spare = spare,
                toLeave = members.associate { it.id to joins.toLeave(it) },
            )
        forming[replica.key.replica] = replica
        val ids = members.joinToString(",") { it.id }
        val name = if (spare) "spare.begun" else "replica.begun"
        scope.events.log(name, "replica" to replica.key.replica, "epoch" to epoch, "members" to ids, "cold" to cold)
        return replica
    }

    /** Takes over what [workers] report and returns the orders to send now. */
    fun update(workers: List<Worker>): List<Order> {
        val listed = workers.associateBy { it.start }
        joins.retain(listed.keys)
        for (replica in all) {
            replica.members.mapNotNull { listed[it.start] }.forEach { replica.onMembership(it, it.membership) }
        }
        return all.toList().flatMap { advance(it, listed.keys) }
    }

    /** [worker] says that its membership is [membership]. */
    fun onMembership(
        worker: Worker,
        membership: Membership?,
    ) = all.forEach { if (worker.id in it.ids) it.onMembership(worker, membership) }

    /** [worker] has left [key]. */
    fun onLeft(
        worker: Worker,
        key: ReplicaEpoch,
    ) = all.forEach { if (worker.id in it.ids) it.onLeft(worker, key) }

    /** What came of an order to join or to open. */
    fun onResult(
        key: ReplicaEpoch,
        order: Order,
        result: OrderResult,
    ) {
        val replica = forming[key.replica]?.takeIf { it.key == key } ?: return
        val refused = result is OrderResult.Refused
        if (refused) {
            val name = order.javaClass.simpleName
            scope.events.log("order.refused", "order" to name, "worker" to order.worker.id, "result" to result)
        }
        when {
            order is Order.Join && refused -> forming.remove(key.replica)
            order is Order.Join -> replica.onAccepted(order.worker)
            !refused -> {
                replica.openAccepted = true
                scope.events.log("replica.opened", "replica" to replica.key.replica, "epoch" to replica.key.epoch)
            }
        }
    }

    private fun advance(
        replica: Forming,
        listed: Set<WorkerStart>,
    ): List<Order> {
        val gone = replica.members.firstOrNull { it.start !in listed || watch.isLost(it) }
        when {
            replica.openSeen || (replica.spare && replica.complete) -> forming.remove(replica.key.replica)
            gone != null -> giveUp(replica, "member ${gone.id} lost")
            scope.clock.nowMs() > replica.giveUpAt -> giveUp(replica, "not ready in time")
        }
        return if (replica.key in this) nextOrders(replica) else emptyList()
    }

    private fun nextOrders(replica: Forming): List<Order> {
        val now = scope.clock.nowMs()
        val head = replica.head
        return when {
            replica.openAccepted -> listOf(Order.Probe(head)).filter { replica.due(head, now, READY_POLL_MS) }
            replica.complete -> listOf(replica.open()).filter { replica.openDue(now, OPEN_RETRY_MS) }
            else -> joins.orders(replica)
        }
    }

    private fun giveUp(
        replica: Forming,
        cause: String,
    ) {
        forming.remove(replica.key.replica)
        if (replica.openOrdered) onOpenedGivenUp(replica, cause)
        scope.events.log(
            "replica.given_up",
            "replica" to replica.key.replica,
            "epoch" to replica.key.epoch,
            "cause" to cause,
        )
    }

    private companion object {
        const val READY_POLL_MS = 200L
        const val OPEN_RETRY_MS = 150L
        const val GIVE_UP_MS = 5_000L

        /** Loads take longer while others run. */
        const val LOAD_PATIENCE = 2
    }
}
