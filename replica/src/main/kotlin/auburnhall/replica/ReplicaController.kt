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

/** Controls the replicas of the service of [scope]. Control thread only. */
class ReplicaController(
    private val scope: ControllerScope,
) {
    private val watch = MemberWatch(scope)
    private val formations: Formations =
        Formations(scope, watch) { of, cause -> breakups.begin(of.head, of.key, cause, 0) }
    private val breakups: Breakups = Breakups(scope, watch, formations::contains) { it.fabricDomain in spareDomains }
    private val supply = Supply(scope, watch, formations, breakups)
    private val loads = LoadRate(scope.clock)
    private val layouts = Layouts()
    private val staging = HashSet<Pair<WorkerStart, String>>()
    private var spareDomains: Set<String> = emptySet()

    /** Parts of the slots of each model's replicas that are taken, as last counted. */
    var pressure: Map<String, Double> = emptyMap()

    private val facts =
        object : PlacementFacts {
            override fun lastModel(worker: Worker): String? = formations.joins.lastModel(worker)

            override fun freeMs(worker: Worker): Long = supply.freeMs(worker)

            override fun pressure(model: String): Double? = pressure[model]
        }

    /** A process has heard nothing from the replica [key] for too long. */
    fun onSuspect(key: ReplicaEpoch) = watch.onSuspect(key)

    /** What came of [order]. */
    fun onResult(
        order: Order,
        result: OrderResult,
    ) {
        val worker = order.worker
        when (result) {
            is OrderResult.NoAnswer -> if (order !is Order.Open) watch.onNoAnswer(worker, result.cause)
            is OrderResult.Report -> {
                watch.onReport(worker, result)
                formations.onMembership(worker, result.membership)
            }
            else -> {
                watch.onAnswer(worker)
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
        val workers = fleet.ofService(scope.service)
        val orders = ArrayList<Order>()
        orders += watch.probes(fleet, tracker)
        val forming = formations.update(workers)
        orders += breakups.update(fleet, tracker.open, workers)
        orders += forming
        if (supply.isSettled(workers)) orders += formMore(workers, engine)
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
                breakups.onLeft(order.worker, key, result)
                formations.onLeft(order.worker, key)
            }
            is Order.Stage, is Order.Probe -> Unit
        }
    }

    private fun formMore(
        workers: List<Worker>,
        engine: EngineProfile,
    ): List<Order> {
        val free = FreeWorkers(supply.free(workers))
        val sizes = workers.filter { watch.isUsable(it) }.groupingBy { it.fabricDomain.orEmpty() }.eachCount()
        val most = sizes.values.maxOrNull() ?: 0
        val whole = layouts.plan(sizes.mapValues { most }, engine.models)
        val plans = DomainPlans(layouts.plan(sizes, engine.models), whole)
        val draft = PlacementDraft(engine.models, plans, serving(workers), free, facts)
        val placed = generateSequence { draft.next() }.toList()
        val fresh = placed.map { begin(it, spare = false) }
        spareDomains = free.domains
        val sparePlan = SparePlan(engine.models, draft.plan, free, facts)
        val spares = sparePlan.firstModels(loadRoom(engine)).map { begin(it, spare = true) }
        return (fresh + spares).flatMap { formations.joins.orders(it) } + stageMore(sparePlan, engine)
    }

    private fun begin(
        placement: Placement,
        spare: Boolean,
    ): Forming {
        val cold = placement.members.count { isCold(it, placement.model) }
        repeat(cold) { loads.begin() }
        return formations.begin(placement.model, placement.members, cold, spare)
    }

    private fun isCold(
        worker: Worker,
        model: Model,
    ) = model.name !in worker.stagedModels && model.name !in worker.loadedModels

    private fun stageMore(
        spares: SparePlan,
        engine: EngineProfile,
    ): List<Order> {
        val wanted = spares.secondModels(minOf(loadRoom(engine), engine.loadsAtOnce))
        val fresh = wanted.filter { staging.add(it.members.first().start to it.model.name) }
        repeat(fresh.size) { loads.begin() }
        return fresh.map { Order.Stage(it.members.first(), it.model.name) }
    }

    private fun loadRoom(engine: EngineProfile): Int =
        if (supply.early) Int.MAX_VALUE else loads.room(engine.loadsPerSecond).coerceAtLeast(0)

    /** Replicas that serve or are being formed, by domain and model. */
    private fun serving(workers: List<Worker>): Map<Pair<String, String>, Int> {
        val forming = formations.all.filter { !it.spare }.map { it.head.fabricDomain.orEmpty() to it.model }
        val open =
            workers
                .filter(breakups::takesRequests)
                .filter { head -> checkNotNull(head.membership).key.let { it !in breakups && it !in formations } }
                .map { it.fabricDomain.orEmpty() to ReplicaName.modelOf(checkNotNull(it.membership).replica) }
        return (forming + open).groupingBy { it }.eachCount()
    }
}
