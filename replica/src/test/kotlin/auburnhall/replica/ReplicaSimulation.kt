/*
 * Simulates workers that carry out orders by the platform's rules for replicas, and a worker list that lags behind
 * their state. Records violations of the invariants: no worker is in two open replicas, and none opens incomplete.
 */
package auburnhall.replica

import auburnhall.core.Address
import auburnhall.core.EngineProfile
import auburnhall.core.EventListener
import auburnhall.core.Fleet
import auburnhall.core.MemberState
import auburnhall.core.Membership
import auburnhall.core.Model
import auburnhall.core.ReplicaName
import auburnhall.core.ReplicaTracker
import auburnhall.core.Worker
import auburnhall.test.FakeScheduler

/** A simulated worker. */
class FakeWorker(
    val id: String,
    val domain: String,
    var startedAtUnixMs: Long = 1,
) {
    var membership: Membership? = null
    var members: List<String> = emptyList()
    var highestEpoch = 0L
    var staged: String? = null
    var loaded: String? = null
    var draining = false

    /** Whether it runs; once it does not, it answers nothing and its entry leaves the list when it expires. */
    var alive = true

    /** Whether the list contains its entry; a worker that is not listed may still answer. */
    var listed = true

    /** Its entry as it stays in the list while the worker is cut off from the store; null while it is not. */
    var staleEntry: Worker? = null

    /** Whether orders and probes of the controller reach it. */
    var reachable = true
    var slowdownFactor = 1.0
    var diedAtMs = 0L
}

/** Workers for two models, and their controller. */
class ReplicaSimulation(
    domains: Int = 2,
    workersPerDomain: Int = 11,
    private val listLagMs: Long = 300,
    firstStart: Boolean = true,
    private val engine: EngineProfile = ENGINE,
) {
    val scheduler = FakeScheduler()
    val controlStall = ControlThreadStall(scheduler)
    val workers: MutableList<FakeWorker> =
        (0 until domains)
            .flatMap { domain ->
                (0 until workersPerDomain).map { FakeWorker("i-$domain-${"%02d".format(it)}", "d$domain") }
            }.toMutableList()
    private val createdAtMs = scheduler.nowMs()
    val violations = ArrayList<String>()

    /** Start times of the loads of members, without those that stage. */
    val coldLoadsAtMs = ArrayList<Long>()
    val stagingLoadsAtMs = ArrayList<Long>()

    /** Data centres of workers that were ordered to join a replica or to load a model. */
    val movedDataCentres = HashSet<String>()
    val reportedTeardowns = ArrayList<ReplicaEpoch>()
    val reportedHealthy = ArrayList<ReplicaEpoch>()
    val reportedClosings = LinkedHashSet<ReplicaEpoch>()
    val reportedSlow = ArrayList<ReplicaEpoch>()
    private val byId = workers.associateByTo(HashMap()) { it.id }
    private val everReady = HashSet<Triple<String, Long, String>>()
    private var listedFleet = Fleet.EMPTY
    private var revision = 0L
    val tracker = ReplicaTracker("s")
    private val listener =
        object : ReplicaListener {
            override fun onHealthy(key: ReplicaEpoch) {
                reportedHealthy.add(key)
            }

            override fun onSlow(key: ReplicaEpoch) {
                reportedSlow.add(key)
            }

            override fun onClosing(key: ReplicaEpoch) {
                reportedClosings.add(key)
            }

            override fun onTeardown(key: ReplicaEpoch) {
                reportedTeardowns.add(key)
            }
        }
    var controller = newController(1_000_000, firstStart)
        private set
    var orderLossRate = 0.0
    var random = kotlin.random.Random(1)

    /** Starts a new controller with epochs from [epoch], as after a change of leader. */
    fun replaceController(epoch: Long) {
        controller = newController(epoch, false)
    }

    /** Runs the simulation for [ms] milliseconds. */
    fun run(ms: Long) {
        val until = scheduler.nowMs() + ms
        while (scheduler.nowMs() < until) {
            if (scheduler.nowMs() % LIST_PERIOD_MS == 0L) updateList()
            decide()
            scheduler.advance(TICK_PERIOD_MS)
        }
    }

    /** Running heads that are open. */
    fun openHeads(): List<FakeWorker> = workers.filter { it.alive && it.membership?.state == MemberState.OPEN }

    /** Number of open replicas of [model] whose members all run and are in the epoch of the head. */
    fun countComplete(model: String): Int =
        openHeads().count { head ->
            ReplicaName.modelOf(checkNotNull(head.membership).replica) == model &&
                head.members.all { id ->
                    byId.getValue(id).let {
                        it.alive &&
                            it.membership?.epoch == head.membership?.epoch
                    }
                }
        }

    fun worker(id: String): FakeWorker = byId.getValue(id)

    /** A new worker of [domain] starts, with nothing loaded or staged. */
    fun add(domain: String) {
        val worker = FakeWorker("n-${workers.size}", domain)
        workers.add(worker)
        byId[worker.id] = worker
    }

    /** The data centre of [domain]; each has a third of the domains. */
    fun dataCentreOf(domain: String) = "z${domain.drop(1).toInt() % DATA_CENTRES}"

    fun kill(worker: FakeWorker) {
        worker.alive = false
        worker.diedAtMs = scheduler.nowMs()
    }

    /** Starts [worker] again under the same ID; nothing is loaded, and its host still has the staged model. */
    fun restart(worker: FakeWorker) {
        worker.alive = true
        worker.startedAtUnixMs++
        worker.membership = null
        worker.loaded = null
        worker.highestEpoch = 0
    }

    private fun newController(
        epoch: Long,
        first: Boolean,
    ) = ReplicaController(
        ControllerContext("s", scheduler, ControllerTerm(epoch, first), EventListener.NONE, listener, controlStall),
    )

    private fun decide() {
        val current = controller
        current.tick(listedFleet, engine, tracker).forEach { order ->
            scheduler.after(1) { deliver(current, order) }
        }
    }

    private fun deliver(
        sender: ReplicaController,
        order: Order,
    ) {
        val worker = byId.getValue(order.worker.id)
        if (order is Order.Join || order is Order.Stage) movedDataCentres.add(order.worker.dataCentre)
        val lost = random.nextDouble() < orderLossRate && order !is Order.Probe
        val reachable = worker.alive && worker.reachable && worker.startedAtUnixMs == order.worker.startedAtUnixMs
        if (!reachable || lost) {
            val executedLate = lost && random.nextBoolean()
            if (executedLate) scheduler.after(LATE_EXECUTION_MS) { carryOut(worker, order) }
            scheduler.after(ORDER_TIMEOUT_MS) { sender.onResult(order, OrderResult.NoAnswer("timeout")) }
        } else {
            sender.onResult(order, carryOut(worker, order))
        }
    }

    private fun carryOut(
        worker: FakeWorker,
        order: Order,
    ): OrderResult =
        when (order) {
            is Order.Join -> join(worker, order)
            is Order.Open -> open(worker, order)
            is Order.Leave -> leave(worker, order)
            is Order.Close -> close(worker, order)
            is Order.Stage -> OrderResult.Accepted.also { stage(worker, order.model) }
            is Order.Probe -> OrderResult.Report(worker.membership, worker.slowdownFactor)
        }

    /** The head ends its requests, which takes a while, and is ready again. */
    private fun close(
        worker: FakeWorker,
        order: Order.Close,
    ): OrderResult {
        val current = worker.membership
        if (current?.epoch != order.epoch || current.state == MemberState.READY) return OrderResult.Refused(409)
        worker.membership = current.copy(state = MemberState.CLOSING)
        scheduler.after(REQUEST_MS) {
            val closing = worker.membership?.takeIf { it.epoch == order.epoch && it.state == MemberState.CLOSING }
            if (closing != null) worker.membership = closing.copy(state = MemberState.READY)
        }
        return OrderResult.Accepted
    }

    private fun stage(
        worker: FakeWorker,
        model: String,
    ) {
        val startedAtMs = worker.startedAtUnixMs
        stagingLoadsAtMs.add(scheduler.nowMs())
        scheduler.after(coldLoadMs()) {
            if (worker.alive && worker.startedAtUnixMs == startedAtMs) worker.staged = model
        }
    }

    /** The time of a load from the weight store that starts now: a tenth before the first request. */
    private fun coldLoadMs() =
        if (scheduler.nowMs() - createdAtMs < FIRST_REQUEST_MS) LOAD_MS / ACCELERATION else LOAD_MS

    private fun join(
        worker: FakeWorker,
        order: Order.Join,
    ): OrderResult {
        val current = worker.membership
        val same = current?.replica == order.replica && current.epoch == order.epoch
        return when {
            order.epoch < worker.highestEpoch -> OrderResult.Refused(412)
            same -> OrderResult.Accepted
            else -> begin(worker, order)
        }
    }

    private fun begin(
        worker: FakeWorker,
        order: Order.Join,
    ): OrderResult {
        checkNotInOpenReplica(worker, order)
        worker.highestEpoch = order.epoch
        worker.members = order.members
        val rank = order.members.indexOf(worker.id)
        worker.membership = Membership(order.replica, order.epoch, rank, MemberState.JOINING)
        val loadTimeMs =
            when (order.model) {
                worker.loaded -> 200L
                worker.staged -> 1_600L
                else -> coldLoadMs().also { coldLoadsAtMs.add(scheduler.nowMs()) }
            }
        val startedAtMs = worker.startedAtUnixMs
        scheduler.after(loadTimeMs) { ready(worker, order, rank, startedAtMs) }
        return OrderResult.Accepted
    }

    private fun ready(
        worker: FakeWorker,
        order: Order.Join,
        rank: Int,
        startedAtMs: Long,
    ) {
        if (worker.membership?.epoch != order.epoch || worker.startedAtUnixMs != startedAtMs || !worker.alive) return
        worker.loaded = order.model
        if (worker.staged == null) worker.staged = order.model
        worker.membership = Membership(order.replica, order.epoch, rank, MemberState.READY)
        everReady.add(Triple(order.replica, order.epoch, worker.id))
    }

    private fun checkNotInOpenReplica(
        worker: FakeWorker,
        order: Order.Join,
    ) {
        val current = worker.membership ?: return
        val head =
            workers.firstOrNull {
                it.membership?.replica == current.replica &&
                    it.membership?.rank == 0 &&
                    it.alive
            }
        val serving = setOf(MemberState.OPEN, MemberState.CLOSING)
        val open = head?.membership?.state in serving && head?.membership?.epoch == current.epoch
        if (open &&
            order.replica != current.replica
        ) {
            violations.add("${worker.id} joined ${order.replica} while its replica ${current.replica} was open")
        }
    }

    private fun open(
        worker: FakeWorker,
        order: Order.Open,
    ): OrderResult {
        val current = worker.membership
        val same = current?.replica == order.replica && current.epoch == order.epoch
        if (!same || current.state == MemberState.JOINING) return OrderResult.Refused(409)
        val unready = worker.members.filter { Triple(order.replica, order.epoch, it) !in everReady }
        if (unready.isNotEmpty()) violations.add("${order.replica} opened before $unready were ready")
        worker.membership = current.copy(state = MemberState.OPEN)
        return OrderResult.Done
    }

    private fun leave(
        worker: FakeWorker,
        order: Order.Leave,
    ): OrderResult {
        val current = worker.membership
        if (current?.replica != order.replica || current.epoch != order.epoch) return OrderResult.Refused(409)
        worker.membership = null
        return OrderResult.Done
    }

    private fun updateList() {
        val now = scheduler.nowMs()
        val entries = workers.filter { it.listed && (it.alive || now - it.diedAtMs < ENTRY_EXPIRY_MS) }.map(::entry)
        scheduler.after(listLagMs) {
            listedFleet = Fleet(++revision, entries)
            tracker.update(listedFleet, engine.models)
        }
    }

    /** Cuts [worker] off from the store: its entry stays as it is, but orders and probes reach it. */
    fun cutOffFromStore(worker: FakeWorker) {
        worker.staleEntry = entry(worker)
    }

    private fun entry(worker: FakeWorker) =
        worker.staleEntry ?: Worker(
            id = worker.id,
            service = "s",
            address = Address("127.0.0.1", 1),
            dataCentre = dataCentreOf(worker.domain),
            slots = 18,
            draining = worker.draining,
            startedAtUnixMs = worker.startedAtUnixMs,
            fabricDomain = worker.domain,
            stagedModels = listOfNotNull(worker.staged),
            loadedModels = emptyList(),
            membership = worker.membership,
        )

    companion object {
        const val LARGE = "large"
        const val SMALL = "small"
        private const val REQUEST_MS = 1_500L
        private const val DATA_CENTRES = 3
        private const val LOAD_MS = 12_000L
        private const val ACCELERATION = 10
        private const val FIRST_REQUEST_MS = 8_000L
        private const val TICK_PERIOD_MS = 20L
        private const val LIST_PERIOD_MS = 100L
        private const val ENTRY_EXPIRY_MS = 3_600L
        private const val ORDER_TIMEOUT_MS = 150L
        private const val LATE_EXECUTION_MS = 3_000L

        /** A service with a large and a small model. */
        val ENGINE =
            EngineProfile(
                slots = 18,
                models =
                    listOf(
                        Model(LARGE, size = 6, share = 0.67, pace = 1.0, coldLoadMs = 16_000, warmLoadMs = 1_600),
                        Model(SMALL, size = 3, share = 0.33, pace = 0.6, coldLoadMs = 12_000, warmLoadMs = 1_100),
                    ),
                reportLagMs = 200,
                coldLoadsPerSecond = 5.5,
                coldLoadsAtFullSpeed = 8,
                formationMs = 300,
                tokenStepMs = 6.45,
                stepsPerPass = 6,
                promptTokensPerSecond = 56_100.0,
            )
    }
}
