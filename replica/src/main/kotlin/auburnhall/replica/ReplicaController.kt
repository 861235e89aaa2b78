/*
 * Keeps the planned number of replicas of one service in service. It takes the workers' reports and the results of its
 * orders as input and returns the orders to send next. All its state can be rebuilt from the workers' reports, so
 * another process can take over at any time.
 */
package auburnhall.replica

import auburnhall.core.EngineProfile
import auburnhall.core.Fleet
import auburnhall.core.Model
import auburnhall.core.ModelDemand
import auburnhall.core.ReplicaName
import auburnhall.core.ReplicaTracker
import auburnhall.core.Worker

/** Controls the replicas of the service of [context]. Control thread only. */
class ReplicaController(
    private val context: ControllerContext,
) {
    private val monitor = MemberMonitor(context)
    private val formations: FormationManager =
        FormationManager(context, monitor) { replica, cause -> teardowns.begin(replica.head, replica.key, cause, 0) }
    private val teardowns: TeardownManager =
        TeardownManager(context, monitor, formations::contains) { it.fabricDomain in spareDomains }
    private val availability = WorkerAvailability(context, monitor, formations, teardowns)
    private val survey = TakeoverSurvey(context.clock, needed = !context.term.firstStart)
    private val limiter = WeightLoadLimiter(context.clock)
    private val planCache = ReplicaPlanCache()
    private val stagingRequested = HashSet<Pair<WorkerIncarnation, String>>()
    private var spareDomains: Set<String> = emptySet()

    /** The demand by model, as last counted. */
    var demand: Map<String, ModelDemand> = emptyMap()

    /** Data centres that are evacuated: nothing is formed or loaded there, and what is open there stays. */
    var evacuated: Set<String> = emptySet()

    private val placementContext =
        object : PlacementContext {
            override fun lastModel(worker: Worker): String? = formations.joinOrders.lastModel(worker)

            override fun freeMs(worker: Worker): Long = availability.freeMs(worker)

            override fun slotUtilization(model: String): Double? = demand[model]?.utilization
        }

    /** A process suspects the replica [key]: it has received no data from it within the failure detector's timeout. */
    fun onSuspect(key: ReplicaEpoch) = monitor.onSuspect(key)

    /** [order] ended with [result]. */
    fun onResult(
        order: Order,
        result: OrderResult,
    ) {
        val worker = order.worker
        when (result) {
            is OrderResult.NoAnswer -> if (order !is Order.Open) monitor.onNoAnswer(worker, result.cause)
            is OrderResult.Report -> {
                monitor.onReport(worker, result)
                survey.onReport(worker, result.membership)
                formations.onMembership(worker, result.membership)
            }
            else -> {
                monitor.onAnswer(worker)
                onAnswer(order, result)
            }
        }
    }

    /** Returns the orders to send now. */
    fun tick(
        fleet: Fleet,
        engine: EngineProfile,
        tracker: ReplicaTracker,
    ): List<Order> {
        val workers = survey.corrected(fleet.ofService(context.service))
        val orders = ArrayList<Order>()
        orders += monitor.probes(fleet, tracker)
        val formationOrders = formations.update(workers)
        orders += teardowns.update(fleet, tracker.open, workers)
        orders += formationOrders
        val candidates = availability.free(workers)
        orders += survey.probes(candidates)
        if (availability.isSettled(workers)) {
            orders +=
                placeReplicas(workers, candidates.filter(survey::isKnown), engine)
        }
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
                teardowns.onLeaveResult(order.worker, key, result)
                survey.onLeft(order.worker, key)
                formations.onLeft(order.worker, key)
            }
            is Order.Stage, is Order.Probe -> Unit
        }
    }

    private fun placeReplicas(
        workers: List<Worker>,
        freeWorkers: List<Worker>,
        engine: EngineProfile,
    ): List<Order> {
        val free = FreeWorkers(freeWorkers)
        val sizes = workers.filter { monitor.isUsable(it) }.groupingBy { it.fabricDomain.orEmpty() }.eachCount()
        val largest = sizes.values.maxOrNull() ?: 0
        val fullPlan = planCache.plan(sizes.mapValues { largest }, engine.models)
        val plans = DomainPlans(planCache.plan(sizes, engine.models), fullPlan)
        val placer = ReplicaPlacer(engine.models, plans, replicaCounts(workers), free, placementContext)
        val placements = generateSequence { placer.next() }.toList()
        val newReplicas = placements.map { begin(it, spare = false) }
        spareDomains = free.domains
        val sparePlanner = SparePlanner(engine.models, placer.plan, free, placementContext)
        val newSpares = sparePlanner.modelsToLoad(availableLoads(engine)).map { begin(it, spare = true) }
        return (newReplicas + newSpares).flatMap { formations.joinOrders.orders(it) } +
            stagingOrders(sparePlanner, engine)
    }

    private fun begin(
        placement: Placement,
        spare: Boolean,
    ): FormingReplica {
        val cold = placement.members.count { isCold(it, placement.model) }
        repeat(cold) { limiter.onLoadStarted() }
        return formations.begin(placement.model, placement.members, cold, spare)
    }

    /** Whether [worker] would have to load the weights of [model] from the weight store. */
    private fun isCold(
        worker: Worker,
        model: Model,
    ) = model.name !in worker.stagedModels && model.name !in worker.loadedModels

    private fun stagingOrders(
        sparePlanner: SparePlanner,
        engine: EngineProfile,
    ): List<Order> {
        val planned = sparePlanner.modelsToStage(minOf(availableLoads(engine), engine.coldLoadsAtFullSpeed))
        val notRequested = planned.filter { stagingRequested.add(it.members.first().incarnation to it.model.name) }
        repeat(notRequested.size) { limiter.onLoadStarted() }
        return notRequested.map { Order.Stage(it.members.first(), it.model.name) }
    }

    private fun availableLoads(engine: EngineProfile): Int =
        if (availability.loadsUnlimited) Int.MAX_VALUE else limiter.permits(engine.coldLoadsPerSecond).coerceAtLeast(0)

    /** Counts the replicas that serve or are being formed, by domain and model. */
    private fun replicaCounts(workers: List<Worker>): Map<Pair<String, String>, Int> {
        val forming = formations.all.filter { !it.spare }.map { it.head.fabricDomain.orEmpty() to it.model }
        val open =
            workers
                .filter(teardowns::isServingHead)
                .filter { head -> checkNotNull(head.membership).key.let { it !in teardowns && it !in formations } }
                .map { it.fabricDomain.orEmpty() to ReplicaName.modelOf(checkNotNull(it.membership).replica) }
        return (forming + open).groupingBy { it }.eachCount()
    }
}
