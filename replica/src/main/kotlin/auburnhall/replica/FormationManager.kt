/*
 * Forms replicas: each member leaves its former replicas, joins the new one and reports ready; only when all are ready
 * is the head ordered to open.
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
    /** Called when a formation is given up after the head was ordered to open, so that the head may be open. */
    private val onGivenUpAfterOpen: (FormingReplica, cause: String) -> Unit,
) {
    private val formingByName = LinkedHashMap<String, FormingReplica>()

    /** Source of the orders that bring members into a replica. */
    val joinOrders = JoinOrders(context.clock)

    /** The replicas that are being formed now. */
    val all: Collection<FormingReplica> get() = formingByName.values

    /** Whether [key] is being formed. */
    operator fun contains(key: ReplicaEpoch): Boolean = formingByName[key.replica]?.key == key

    /** Starts to form a replica of [model] from [members], of which [cold] load weights from the weight store. */
    fun begin(
        model: Model,
        members: List<Worker>,
        cold: Int,
        spare: Boolean,
    ): FormingReplica {
        val epoch = context.term.nextEpoch()
        val timeoutMs =
            if (cold > 0) model.coldLoadMs * LOAD_TIME_FACTOR + MARGIN_MS else model.warmLoadMs + MARGIN_MS
        val replica =
            FormingReplica(
                key = ReplicaEpoch(ReplicaName.of(model.name, epoch), epoch),
                model = model.name,
                members = members,
                deadlineMs = context.clock.nowMs() + timeoutMs,
                spare = spare,
                replicasToLeave = members.associate { it.id to joinOrders.replicasToLeave(it) },
            )
        formingByName[replica.key.replica] = replica
        val ids = members.joinToString(",") { it.id }
        val name = if (spare) "spare.begun" else "replica.begun"
        context.events.log(name, "replica" to replica.key.replica, "epoch" to epoch, "members" to ids, "cold" to cold)
        return replica
    }

    /** Applies the memberships that [workers] report and returns the orders to send now. */
    fun update(workers: List<Worker>): List<Order> {
        val listed = workers.associateBy { it.incarnation }
        joinOrders.retain(listed.keys)
        for (replica in all) {
            replica.members.mapNotNull { listed[it.incarnation] }.forEach { replica.onMembership(it, it.membership) }
        }
        return all.toList().flatMap { advance(it, listed.keys) }
    }

    /** [worker] reported [membership] in answer to a probe. */
    fun onMembership(
        worker: Worker,
        membership: Membership?,
    ) = all.forEach { if (worker.id in it.memberIds) it.onMembership(worker, membership) }

    /** [worker] has left [key]. */
    fun onLeft(
        worker: Worker,
        key: ReplicaEpoch,
    ) = all.forEach { if (worker.id in it.memberIds) it.onLeft(worker, key) }

    /** The order [order] to join or to open [key] was answered with [result]. */
    fun onResult(
        key: ReplicaEpoch,
        order: Order,
        result: OrderResult,
    ) {
        val replica = formingByName[key.replica]?.takeIf { it.key == key } ?: return
        val refused = result is OrderResult.Refused
        if (refused) {
            val name = order.javaClass.simpleName
            context.events.log("order.refused", "order" to name, "worker" to order.worker.id, "result" to result)
        }
        when {
            order is Order.Join && refused -> formingByName.remove(key.replica)
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
        val lost = replica.members.firstOrNull { it.incarnation !in listed || monitor.isLost(it) }
        when {
            replica.openReported || (replica.spare && replica.allReady) -> formingByName.remove(replica.key.replica)
            lost != null -> giveUp(replica, "member ${lost.id} lost")
            context.clock.nowMs() > replica.deadlineMs -> giveUp(replica, "not ready in time")
        }
        return if (replica.key in this) nextOrders(replica) else emptyList()
    }

    private fun nextOrders(replica: FormingReplica): List<Order> {
        val now = context.clock.nowMs()
        val head = replica.head
        return when {
            replica.openAccepted -> listOf(Order.Probe(head)).filter { replica.sendDue(head, now, PROBE_INTERVAL_MS) }
            replica.allReady -> listOf(replica.openOrder()).filter { replica.openDue(now, OPEN_RETRY_MS) }
            else -> joinOrders.orders(replica)
        }
    }

    private fun giveUp(
        replica: FormingReplica,
        cause: String,
    ) {
        formingByName.remove(replica.key.replica)
        if (replica.openOrdered) onGivenUpAfterOpen(replica, cause)
        context.events.log(
            "replica.given_up",
            "replica" to replica.key.replica,
            "epoch" to replica.key.epoch,
            "cause" to cause,
        )
    }

    private companion object {
        const val PROBE_INTERVAL_MS = 200L
        const val OPEN_RETRY_MS = 150L

        /** Time that a formation may take in addition to loading the weights. */
        const val MARGIN_MS = 5_000L

        /** Weight loads take longer than configured while other loads run. */
        const val LOAD_TIME_FACTOR = 2
    }
}
