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
class FormationManager(
    private val context: ControllerContext,
    private val monitor: MemberMonitor,
    /** Called when a replica is given up whose head may be open. */
    private val onOpenedGivenUp: (FormingReplica, cause: String) -> Unit,
) {
    private val forming = LinkedHashMap<String, FormingReplica>()

    /** The orders to join. */
    val joinOrders = JoinOrders(context.clock)

    /** The replicas that are being formed now. */
    val all: Collection<FormingReplica> get() = forming.values

    /** Whether [key] is being formed. */
    operator fun contains(key: ReplicaEpoch): Boolean = forming[key.replica]?.key == key

    /** Begins a replica of [model] with [members], [cold] of which fetch weights. */
    fun begin(
        model: Model,
        members: List<Worker>,
        cold: Int,
        spare: Boolean,
    ): FormingReplica {
        val epoch = context.term.nextEpoch()
        val patience = if (cold > 0) model.coldLoadMs * LOAD_PATIENCE + GIVE_UP_MS else model.warmLoadMs + GIVE_UP_MS
        val replica =
            FormingReplica(
                key = ReplicaEpoch(ReplicaName.of(model.name, epoch), epoch),
                model = model.name,
                members = members,
                giveUpAt = context.clock.nowMs() + patience,
                spare = spare,
                toLeave = members.associate { it.id to joinOrders.toLeave(it) },
            )
        forming[replica.key.replica] = replica
        val ids = members.joinToString(",") { it.id }
        val name = if (spare) "spare.begun" else "replica.begun"
        context.events.log(name, "replica" to replica.key.replica, "epoch" to epoch, "members" to ids, "cold" to cold)
        return replica
    }

    /** Takes over what [workers] report and returns the orders to send now. */
    fun update(workers: List<Worker>): List<Order> {
        val listed = workers.associateBy { it.incarnation }
        joinOrders.retain(listed.keys)
        for (replica in all) {
            replica.members.mapNotNull { listed[it.incarnation] }.forEach { replica.onMembership(it, it.membership) }
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
            context.events.log("order.refused", "order" to name, "worker" to order.worker.id, "result" to result)
        }
        when {
            order is Order.Join && refused -> forming.remove(key.replica)
            order is Order.Join -> replica.onAccepted(order.worker)
            !refused -> {
                replica.openAccepted = true
                context.events.log("replica.opened", "replica" to replica.key.replica, "epoch" to replica.key.epoch)
            }
        }
    }

    private fun advance(
        replica: FormingReplica,
        listed: Set<WorkerIncarnation>,
    ): List<Order> {
        val gone = replica.members.firstOrNull { it.incarnation !in listed || monitor.isLost(it) }
        when {
            replica.openSeen || (replica.spare && replica.complete) -> forming.remove(replica.key.replica)
            gone != null -> giveUp(replica, "member ${gone.id} lost")
            context.clock.nowMs() > replica.giveUpAt -> giveUp(replica, "not ready in time")
        }
        return if (replica.key in this) nextOrders(replica) else emptyList()
    }

    private fun nextOrders(replica: FormingReplica): List<Order> {
        val now = context.clock.nowMs()
        val head = replica.head
        return when {
            replica.openAccepted -> listOf(Order.Probe(head)).filter { replica.due(head, now, READY_POLL_MS) }
            replica.complete -> listOf(replica.open()).filter { replica.openDue(now, OPEN_RETRY_MS) }
            else -> joinOrders.orders(replica)
        }
    }

    private fun giveUp(
        replica: FormingReplica,
        cause: String,
    ) {
        forming.remove(replica.key.replica)
        if (replica.openOrdered) onOpenedGivenUp(replica, cause)
        context.events.log(
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
