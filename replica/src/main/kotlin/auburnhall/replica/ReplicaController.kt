/*
 * Keeps the replicas of one service whole. It is told what workers report and what came of its orders, and returns
 * the orders to send next; it holds no state that could not be told again from the workers' reports, so that another
 * process can carry on at any moment.
 */
package auburnhall.replica

import auburnhall.core.EngineProfile
import auburnhall.core.Fleet
import auburnhall.core.Model
import auburnhall.core.ReplicaName
import auburnhall.core.ReplicaTracker
import auburnhall.core.Worker

/** Controls the replicas of the service of [context]. Control thread only. */
class ReplicaController(
    private val context: ControllerContext,
) {
    private val monitor = MemberMonitor(context)
    private val formations: FormationManager =
        FormationManager(context, monitor) { of, cause -> teardowns.begin(of.head, of.key, cause, 0) }
    private val teardowns: TeardownManager =
        TeardownManager(context, monitor, formations::contains) { it.fabricDomain in spareDomains }
    private val availability = WorkerAvailability(context, monitor, formations, teardowns)
    private val loads = WeightLoadLimiter(context.clock)
    private val layouts = ReplicaPlanCache()
    private val staging = HashSet<Pair<WorkerIncarnation, String>>()
    private var spareDomains: Set<String> = emptySet()

    /** Parts of the slots of each model's replicas that are taken, as last counted. */
    var slotUtilization: Map<String, Double> = emptyMap()

    private val placementContext =
        object : PlacementContext {
            override fun lastModel(worker: Worker): String? = formations.joinOrders.lastModel(worker)

            override fun freeMs(worker: Worker): Long = availability.freeMs(worker)

            override fun slotUtilization(model: String): Double? = slotUtilization[model]
        }

    /** A process has heard nothing from the replica [key] for too long. */
    fun onSuspect(key: ReplicaEpoch) = monitor.onSuspect(key)

    /** What came of [order]. */
    fun onResult(
        order: Order,
        result: OrderResult,
    ) {
        val worker = order.worker
        when (result) {
            is OrderResult.NoAnswer -> if (order !is Order.Open) monitor.onNoAnswer(worker, result.cause)
            is OrderResult.Report -> {
                monitor.onReport(worker, result)
                formations.onMembership(worker, result.membership)
            }
            else -> {
                monitor.onAnswer(worker)
                onAnswer(order, result)
            }
        }
    }

    /** The orders to send now. */
    fun tick(
        fleet: Fleet,
        engine: EngineProfile,
        tracker: ReplicaTracker,
    ): List<Order> {
        val workers = fleet.ofService(context.service)
        val orders = ArrayList<Order>()
        orders += monitor.probes(fleet, tracker)
        val forming = formations.update(workers)
        orders += teardowns.update(fleet, tracker.open, workers)
        orders += forming
        if (availability.isSettled(workers)) orders += formMore(workers, engine)
        return orders
    }

    private fun onAnswer(
        order: Order,
        result: OrderResult,
    ) {
        when (order) {
            is Order.Join -> formations.onResult(ReplicaEpoch(order.replica, order.epoch), order, result)
            is Order.Open -> formations.onResult(ReplicaEpoch(order.replica, order.epoch), order, result)
            is Order.Leave -> {
                val key = ReplicaEpoch(order.replica, order.epoch)
                teardowns.onLeft(order.worker, key, result)
                formations.onLeft(order.worker, key)
            }
            is Order.Stage, is Order.Probe -> Unit
        }
    }

    private fun formMore(
        workers: List<Worker>,
        engine: EngineProfile,
    ): List<Order> {
        val free = FreeWorkers(availability.free(workers))
        val sizes = workers.filter { monitor.isUsable(it) }.groupingBy { it.fabricDomain.orEmpty() }.eachCount()
        val most = sizes.values.maxOrNull() ?: 0
        val whole = layouts.plan(sizes.mapValues { most }, engine.models)
        val plans = DomainPlans(layouts.plan(sizes, engine.models), whole)
        val draft = ReplicaPlacer(engine.models, plans, serving(workers), free, placementContext)
        val placed = generateSequence { draft.next() }.toList()
        val fresh = placed.map { begin(it, spare = false) }
        spareDomains = free.domains
        val sparePlan = SparePlanner(engine.models, draft.plan, free, placementContext)
        val spares = sparePlan.firstModels(loadRoom(engine)).map { begin(it, spare = true) }
        return (fresh + spares).flatMap { formations.joinOrders.orders(it) } + stageMore(sparePlan, engine)
    }

    private fun begin(
        placement: Placement,
        spare: Boolean,
    ): FormingReplica {
        val cold = placement.members.count { isCold(it, placement.model) }
        repeat(cold) { loads.begin() }
        return formations.begin(placement.model, placement.members, cold, spare)
    }

    private fun isCold(
        worker: Worker,
        model: Model,
    ) = model.name !in worker.stagedModels && model.name !in worker.loadedModels

    private fun stageMore(
        spares: SparePlanner,
        engine: EngineProfile,
    ): List<Order> {
        val wanted = spares.secondModels(minOf(loadRoom(engine), engine.coldLoadsAtFullSpeed))
        val fresh = wanted.filter { staging.add(it.members.first().incarnation to it.model.name) }
        repeat(fresh.size) { loads.begin() }
        return fresh.map { Order.Stage(it.members.first(), it.model.name) }
    }

    private fun loadRoom(engine: EngineProfile): Int =
        if (availability.early) Int.MAX_VALUE else loads.room(engine.coldLoadsPerSecond).coerceAtLeast(0)

    /** Replicas that serve or are being formed, by domain and model. */
    private fun serving(workers: List<Worker>): Map<Pair<String, String>, Int> {
        val forming = formations.all.filter { !it.spare }.map { it.head.fabricDomain.orEmpty() to it.model }
        val open =
            workers
                .filter(teardowns::takesRequests)
                .filter { head -> checkNotNull(head.membership).key.let { it !in teardowns && it !in formations } }
                .map { it.fabricDomain.orEmpty() to ReplicaName.modelOf(checkNotNull(it.membership).replica) }
        return (forming + open).groupingBy { it }.eachCount()
    }
}
