/*
 * Keeps the planned number of replicas of one service in service. It takes the workers' reports and the results of its
 * orders as input and returns the orders to send next. All its state can be rebuilt from the workers' reports, so
 * another process can take over at any time.
 */
package auburnhall.replica

import auburnhall.core.EngineProfile
import auburnhall.core.Fleet
import auburnhall.core.MemberState
import auburnhall.core.Model
import auburnhall.core.ModelDemand
import auburnhall.core.Replica
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
    private val loads = LoadBudget(context, formations, availability)
    private val planCache = ReplicaPlanCache()
    private var spareDomains: Set<String> = emptySet()
    private var modelCount = 0

    private val estimate = DemandEstimate(context.clock)
    private val closings = ReplicaClosings(context)
    private val conversions = ConversionPlanner(context.clock)
    private val planStatus = PlanStatus(context)

    /** The replicas of each model by data centre, as of the last decision. */
    var status: List<ModelStatus> = emptyList()
        private set

    /** The demand by model, as last counted. */
    var demand: Map<String, ModelDemand>
        get() = estimate.counted
        set(value) = estimate.update(value)

    /** Data centres that are evacuated: nothing is formed or loaded there, and what is open there stays. */
    var evacuated: Set<String> = emptySet()

    private val placementContext =
        object : PlacementContext {
            override fun lastModel(worker: Worker): String? = formations.joinOrders.lastModel(worker)

            override fun freeMs(worker: Worker): Long = availability.freeMs(worker)

            override fun slotUtilization(model: String): Double? = demand[model]?.utilization

            override fun pendingLoads(
                domain: String,
                model: Model,
            ): List<PendingLoad> = loads.pending(domain, model)

            override val coldMembersAllowed: Boolean get() = availability.loadsUnlimited || modelCount < 2
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
        loads.update(workers)
        modelCount = engine.models.size
        val orders = ArrayList<Order>()
        orders += monitor.probes(fleet, tracker)
        val formationOrders = formations.update(workers)
        val closing = fleet.replicas(context.service, engine.models).filter { it.state == MemberState.CLOSING }
        orders += teardowns.update(fleet, tracker.open + closing, workers)
        orders += formationOrders
        val candidates = availability.free(workers)
        orders += survey.probes(candidates)
        if (availability.isSettled(workers)) {
            val active = workers.filter { it.dataCentre !in evacuated }
            val free = candidates.filter { survey.isKnown(it) && it.dataCentre !in evacuated }
            orders += placeReplicas(active, free, engine, useReserve = active.size < workers.size, tracker.open)
        }
        orders += closings.update(workers)
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
            is Order.Close -> closings.onResult(ReplicaEpoch(order.replica, order.epoch), result)
            is Order.Stage, is Order.Probe -> Unit
        }
    }

    private fun placeReplicas(
        workers: List<Worker>,
        freeWorkers: List<Worker>,
        engine: EngineProfile,
        useReserve: Boolean,
        open: List<Replica>,
    ): List<Order> {
        val free = FreeWorkers(freeWorkers)
        val sizes = workers.filter { monitor.isUsable(it) }.groupingBy { it.fabricDomain.orEmpty() }.eachCount()
        val largest = sizes.values.maxOrNull() ?: 0
        val fullPlan = planCache.plan(sizes.mapValues { largest }, engine.models)
        val present = replicaCounts(workers)
        val needed = estimate.needed(engine)
        val demands = ReplicaPlanner.demands(engine.models, needed)
        val plan = planCache.plan(sizes, engine.models, present, useReserve, demands)
        val capacity = ReplicaPlanner.capacity(sizes, useReserve)
        val plans = DomainPlans(plan, fullPlan, capacity, needed, conversions.reserved(closings.domains))
        val counts = PlacementCounts(engine.models, plans, present)
        val formationTime = FormationTime(engine, loads.runningCount)
        val placer = ReplicaPlacer(engine.models, counts, free, placementContext, formationTime)
        val inventory = WeightInventory(engine.models, placementContext)
        val placements = generateSequence { placer.next() }.toList()
        val newReplicas = placements.map { begin(it, engine, inventory, spare = false) }
        placements.forEach {
            conversions.onFormed(
                it.members
                    .first()
                    .fabricDomain
                    .orEmpty(),
                it.model,
            )
        }
        if (needed != null) {
            val candidates = ConversionCandidates(convertible(open), counts, free, inventory, formationTime)
            conversions
                .next(engine.models, ModelCoverage(counts, needed), candidates, closings.domains)
                ?.let { closings.begin(it.replicas, "${it.model.name} is short of replicas") }
        }
        spareDomains = free.domains
        val spares = freeWorkers.mapTo(HashSet()) { it.incarnation }
        val needs = SpareNeeds(plan, counts.coverage(), placer.loadsWanted)
        val sparePlanner = SparePlanner(engine.models, needs, free, placementContext)
        val newSpares =
            sparePlanner.modelsToLoad(loads.forSpares(engine)).map { begin(it, engine, inventory, spare = true) }
        val forming = formations.all.flatMapTo(HashSet()) { it.memberIds }
        val settled = workers.filter { monitor.isUsable(it) && it.id !in forming }
        status = planStatus.update(engine.models, workers, PlanSnapshot(plan, present, counts, demand))
        val staging = StagingPlanner(engine, needs, inventory).wanted(settled, spares)
        return (newReplicas + newSpares).flatMap { formations.joinOrders.orders(it) } + stagingOrders(staging, engine)
    }

    /** Those of the [open] replicas that may be closed. */
    private fun convertible(open: List<Replica>): List<Replica> =
        open.filter { replica ->
            val key = ReplicaEpoch(replica.name, replica.epoch)
            val unused = key !in teardowns && key !in closings && key !in formations
            unused && replica.members.all { monitor.isUsable(it) && it.dataCentre !in evacuated }
        }

    private fun begin(
        placement: Placement,
        engine: EngineProfile,
        inventory: WeightInventory,
        spare: Boolean,
    ): FormingReplica {
        val cold = placement.members.filter { !inventory.locality(it, placement.model).isWarm }
        cold.forEach { loads.begin(it, placement.model, engine) }
        return formations.begin(placement.model, placement.members, cold.size, spare)
    }

    private fun stagingOrders(
        wanted: List<Placement>,
        engine: EngineProfile,
    ): List<Order> {
        val chosen = wanted.filter { !loads.isLoading(it.members.first(), it.model) }.take(loads.forStaging(engine))
        chosen.forEach { loads.begin(it.members.first(), it.model, engine) }
        return chosen.map { Order.Stage(it.members.first(), it.model.name) }
    }

    /** Counts the replicas that serve or are being formed with heads among [workers], by domain and model. */
    private fun replicaCounts(workers: List<Worker>): Map<Pair<String, String>, Int> {
        val forming =
            formations.all.filter { !it.spare && it.head.dataCentre !in evacuated }.map {
                it.head.fabricDomain.orEmpty() to
                    it.model
            }
        val open =
            workers
                .filter(teardowns::isServingHead)
                .filter { it.membership?.state == MemberState.OPEN }
                .filter { isCounted(checkNotNull(it.membership).key) }
                .map { it.fabricDomain.orEmpty() to ReplicaName.modelOf(checkNotNull(it.membership).replica) }
        return (forming + open).groupingBy { it }.eachCount()
    }

    private fun isCounted(key: ReplicaEpoch) = key !in teardowns && key !in formations && key !in closings
}
