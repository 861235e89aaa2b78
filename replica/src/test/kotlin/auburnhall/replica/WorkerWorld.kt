/*
 * Workers that keep the platform's rules of replicas, behind a list that lags, and a checker of what must always hold.
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

/** One worker. */
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

    /** Whether it runs; one that does not answers nobody and leaves the list after a while. */
    var alive = true

    /** Whether its entry is kept, though it answers. */
    var listed = true

    /** Whether it answers the controller. */
    var reachable = true
    var slowdownFactor = 1.0
    var diedAt = 0L
}

/** Workers of two models, and the controller that looks after them. */
class WorkerWorld(
    domains: Int = 2,
    perDomain: Int = 11,
    private val lagMs: Long = 300,
    firstStart: Boolean = true,
) {
    val scheduler = FakeScheduler()
    val controlStall = ControlThreadStall(scheduler)
    val workers =
        (0 until domains).flatMap { d ->
            (0 until perDomain).map { FakeWorker("i-$d-${"%02d".format(it)}", "d$d") }
        }
    val broken = ArrayList<String>()
    val loads = ArrayList<Long>()
    val breaking = ArrayList<ReplicaEpoch>()
    val sound = ArrayList<ReplicaEpoch>()
    val slow = ArrayList<ReplicaEpoch>()
    private val byId get() = workers.associateBy { it.id }
    private val everReady = HashSet<Triple<String, Long, String>>()
    private var listedFleet = Fleet.EMPTY
    private var revision = 0L
    val tracker = ReplicaTracker("s")
    private val listener =
        object : ReplicaListener {
            override fun onHealthy(key: ReplicaEpoch) {
                sound.add(key)
            }

            override fun onSlow(key: ReplicaEpoch) {
                slow.add(key)
            }

            override fun onTeardown(key: ReplicaEpoch) {
                breaking.add(key)
            }
        }
    var controller = newController(1_000_000, firstStart)
        private set
    var ordersLost = 0.0
    var random = kotlin.random.Random(1)

    /** Another process takes control. */
    fun replaceController(epoch: Long) {
        controller = newController(epoch, false)
    }

    /** Lets [ms] milliseconds pass. */
    fun run(ms: Long) {
        val until = scheduler.nowMs() + ms
        while (scheduler.nowMs() < until) {
            if (scheduler.nowMs() % LIST_MS == 0L) list()
            decide()
            scheduler.advance(TICK_PERIOD_MS)
        }
    }

    /** Heads that take requests, with their members. */
    fun open(): List<FakeWorker> = workers.filter { it.alive && it.membership?.state == MemberState.OPEN }

    /** Open replicas of [model] whose members are all there. */
    fun whole(model: String): Int =
        open().count { head ->
            ReplicaName.modelOf(checkNotNull(head.membership).replica) == model &&
                head.members.all { id ->
                    byId.getValue(id).let {
                        it.alive &&
                            it.membership?.epoch == head.membership?.epoch
                    }
                }
        }

    fun worker(id: String): FakeWorker = byId.getValue(id)

    fun kill(worker: FakeWorker) {
        worker.alive = false
        worker.diedAt = scheduler.nowMs()
    }

    /** The same host runs a new worker under the same id. */
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
        current.tick(listedFleet, ENGINE, tracker).forEach { order ->
            scheduler.after(1) { deliver(current, order) }
        }
    }

    private fun deliver(
        from: ReplicaController,
        order: Order,
    ) {
        val worker = byId.getValue(order.worker.id)
        val lost = random.nextDouble() < ordersLost && order !is Order.Probe
        val there = worker.alive && worker.reachable && worker.startedAtUnixMs == order.worker.startedAtUnixMs
        if (!there || lost) {
            val late = lost && random.nextBoolean()
            if (late) scheduler.after(LATE_MS) { carryOut(worker, order) }
            scheduler.after(TIMEOUT_MS) { from.onResult(order, OrderResult.NoAnswer("timeout")) }
        } else {
            from.onResult(order, carryOut(worker, order))
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
            is Order.Stage -> OrderResult.Accepted.also { scheduler.after(LOAD_MS) { worker.staged = order.model } }
            is Order.Probe -> OrderResult.Report(worker.membership, worker.slowdownFactor)
        }

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
        val took =
            when (order.model) {
                worker.loaded -> 200L
                worker.staged -> 1_600L
                else -> LOAD_MS.also { loads.add(scheduler.nowMs()) }
            }
        val born = worker.startedAtUnixMs
        scheduler.after(took) { ready(worker, order, rank, born) }
        return OrderResult.Accepted
    }

    private fun ready(
        worker: FakeWorker,
        order: Order.Join,
        rank: Int,
        born: Long,
    ) {
        if (worker.membership?.epoch != order.epoch || worker.startedAtUnixMs != born || !worker.alive) return
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
        val open = head?.membership?.state == MemberState.OPEN && head.membership?.epoch == current.epoch
        if (open &&
            order.replica != current.replica
        ) {
            broken.add("TWO: ${worker.id} joined ${order.replica} out of ${current.replica}")
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
        if (unready.isNotEmpty()) broken.add("PARTIAL: ${order.replica} opened without $unready")
        worker.membership = current.copy(state = MemberState.OPEN)
        return OrderResult.Done
    }

    private fun leave(
        worker: FakeWorker,
        order: Order.Leave,
    ): OrderResult {
        val current = worker.membership
        if (current?.replica == order.replica && current.epoch == order.epoch) worker.membership = null
        return OrderResult.Done
    }

    private fun list() {
        val now = scheduler.nowMs()
        val shown = workers.filter { it.listed && (it.alive || now - it.diedAt < EXPIRY_MS) }.map(::entry)
        scheduler.after(lagMs) {
            listedFleet = Fleet(++revision, shown)
            tracker.update(listedFleet, ENGINE.models)
        }
    }

    private fun entry(worker: FakeWorker) =
        Worker(
            id = worker.id,
            service = "s",
            address = Address("127.0.0.1", 1),
            dataCentre = "z",
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
        private const val LOAD_MS = 12_000L
        private const val TICK_PERIOD_MS = 20L
        private const val LIST_MS = 100L
        private const val EXPIRY_MS = 3_600L
        private const val TIMEOUT_MS = 150L
        private const val LATE_MS = 3_000L

        /** Two models as a user of the platform has them. */
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
