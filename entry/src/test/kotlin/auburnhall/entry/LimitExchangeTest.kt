package auburnhall.entry

import auburnhall.core.Address
import auburnhall.core.EventListener
import auburnhall.core.MemberState
import auburnhall.core.Membership
import auburnhall.core.OperatorLimits
import auburnhall.core.Replica
import auburnhall.core.Settings
import auburnhall.core.Worker
import auburnhall.routing.DemandShare
import auburnhall.routing.LoadTracker
import auburnhall.routing.Target
import auburnhall.routing.TargetTable
import auburnhall.routing.WorkerLimits
import auburnhall.test.FakeScheduler
import org.junit.jupiter.api.Assertions.assertTrue
import org.junit.jupiter.api.Test
import kotlin.random.Random

/** The load of a fleet on workers that name limits; processes exchange load and limits over a lossy network. */
class LimitExchangeTest {
    private val time = FakeScheduler()
    private var random = Random(0)
    private val processes = ArrayList<SimulatedProcess>()
    private var targets: List<Target> = emptyList()
    private val arrivalsMs = HashMap<Target, ArrayList<Long>>()
    private var limitPerSecond: Double? = null
    private var namedAtMs = Long.MAX_VALUE
    private var refused = 0

    private inner class SimulatedProcess(
        val name: String,
    ) : PeerSender {
        var running = true
        private val runtime = PeerRuntime(time, time, random)
        private val load = LoadTracker(time)
        private val share = DemandShare(time, load, { FLEET }) { targets }
        private val limits = WorkerLimits(time, share) { name.drop(1).toDouble() / FLEET }
        private val exchange = LimitExchange(name, runtime, limits, this, EventListener.NONE)
        private val loads = LoadExchange(settings(name), runtime, load, this)

        fun start() {
            val others = processes.filter { it !== this }
            loads.onPeers(others.associate { it.name to PeerProcess(it.name, "z") })
            exchange.onPeers(others.map { it.name }.toSet())
            loads.start()
            exchange.start()
        }

        override fun send(
            message: PeerMessage,
            names: Collection<String>,
        ) {
            if (!running) return
            val sent = PeerMessage.decode(message.encode())
            for (receiver in processes.filter { it.name in names && random.nextDouble() >= LOSS_RATE }) {
                time.after(1) { receiver.receive(sent) }
            }
        }

        private fun receive(message: PeerMessage) =
            if (message.limits.isEmpty()) loads.onMessage(message) else exchange.onReport(message.limits)

        fun request(deadlineMs: Long = time.nowMs() + MAX_WAIT_MS) {
            if (!running) return
            val target = targets.filter { limits.waitMs(it) == 0L }.randomOrNull(random)
            when {
                target != null -> send(target)
                time.nowMs() + RETRY_MS < deadlineMs -> time.after(RETRY_MS) { request(deadlineMs) }
                else -> refused++
            }
        }

        private fun send(target: Target) {
            limits.onSent(target)
            load.begin(target.key, 0)
            arrivalsMs.getOrPut(target) { ArrayList() }.add(time.nowMs())
            time.after(FIRST_EVENT_MS) { limits.onResponse(target, limitPerSecond.takeIf { target in limited() }) }
            time.after(DURATION_MS) { load.end(target.key, 0) }
        }
    }

    private var limitedCount = LIMITED

    private fun limited() = targets.take(limitedCount)

    private fun settings(name: String): Settings {
        val address = Address("127.0.0.1", 1)
        return Settings(
            name,
            "z",
            name,
            address,
            address,
            1,
            address,
            1_000,
            true,
            OperatorLimits(8_000, 0.2, 10, 10_000),
        )
    }

    private fun target(number: Int): Target {
        val membership = Membership("m/$number", 1, 0, MemberState.OPEN)
        val address = Address("10.0.0.1", 80)
        val head = Worker("i-$number", "s", address, "z", 18, false, 1, "d", emptyList(), emptyList(), membership)
        val replica = Replica("m/$number", 1, "m", listOf(head))
        return Target(TargetTable.keyOf(replica), head, replica, 18, "m")
    }

    private fun start(seed: Int) {
        processes.forEach { it.running = false }
        processes.clear()
        arrivalsMs.clear()
        random = Random(seed)
        refused = 0
        limitPerSecond = null
        targets = List(TARGETS, ::target)
        repeat(FLEET) { processes.add(SimulatedProcess("p$it")) }
        processes.forEach { it.start() }
    }

    /** Sends [perSecond] requests, half of them through a quarter of the processes. */
    private fun sendFor(
        durationMs: Long,
        perSecond: Int,
    ) {
        repeat((durationMs * perSecond / SECOND_MS).toInt()) {
            val busy = random.nextBoolean()
            val process = if (busy) processes[random.nextInt(FLEET / 4)] else processes.random(random)
            time.after(random.nextLong(durationMs)) { process.request() }
        }
        time.advance(durationMs)
    }

    private fun name(perSecond: Double) {
        limitPerSecond = perSecond
        namedAtMs = time.nowMs() + FIRST_EVENT_MS
    }

    private fun mostInWindow(target: Target): Int {
        val times = arrivalsMs[target].orEmpty().filter { it >= namedAtMs + CONTACT_MS }
        return times.maxOfOrNull { begin -> times.count { it in begin until begin + WINDOW_MS } } ?: 0
    }

    private fun assertKept(perSecond: Double) {
        val allowed = perSecond * WINDOW_MS / SECOND_MS * 1.5 + 5
        val most = limited().maxOf(::mostInWindow)
        assertTrue(most <= allowed, "$most requests in a window, limit $perSecond a second, allowed $allowed")
    }

    @Test
    fun `20 processes together keep to the limits of workers, also when the load rises and falls`() {
        println("seeds = 1..$SEEDS")
        for (seed in 1..SEEDS) {
            for (perSecond in listOf(1.2, 2.9, 5.5)) {
                start(seed)
                sendFor(2_000, LOAD_PER_S)
                name(perSecond)
                sendFor(6_000, LOAD_PER_S)
                sendFor(6_000, LOW_LOAD_PER_S)
                sendFor(6_000, BURST_PER_S)
                assertKept(perSecond)
            }
        }
    }

    @Test
    fun `workers that name limits get most of the requests that they take while there are enough`() {
        limitedCount = TARGETS
        start(1)
        name(4.0)
        sendFor(5_000, BURST_PER_S)
        limited().forEach { arrivalsMs.getValue(it).clear() }
        sendFor(10_000, BURST_PER_S)
        val used = limited().sumOf { arrivalsMs.getValue(it).size } / (TARGETS * 4.0 * 10)
        assertTrue(used > 0.7, "$used of the limits was used")
    }

    @Test
    fun `while there are fewer requests than workers take, none is refused`() {
        start(1)
        name(4.0)
        sendFor(10_000, LOW_LOAD_PER_S)
        assertTrue(refused == 0, "$refused requests refused")
    }

    @Test
    fun `a limit that a worker names no more ends at all processes`() {
        start(1)
        name(2.0)
        sendFor(5_000, LOAD_PER_S)
        limitPerSecond = null
        sendFor(6_000, LOAD_PER_S)
        limited().forEach { arrivalsMs.getValue(it).clear() }
        sendFor(5_000, LOAD_PER_S)
        val perWorker = limited().sumOf { arrivalsMs.getValue(it).size } / (LIMITED * 5.0)
        assertTrue(perWorker > LOAD_PER_S / TARGETS * 0.8, "$perWorker requests a second")
    }

    private companion object {
        const val FLEET = 20
        const val TARGETS = 24
        const val LIMITED = 17
        const val SEEDS = 5
        const val LOSS_RATE = 0.03
        const val LOAD_PER_S = 100
        const val LOW_LOAD_PER_S = 30
        const val BURST_PER_S = 300
        const val FIRST_EVENT_MS = 100L
        const val DURATION_MS = 1_000L
        const val MAX_WAIT_MS = 1_200L
        const val RETRY_MS = 40L
        const val CONTACT_MS = 3_000L
        const val WINDOW_MS = 4_000L
        const val SECOND_MS = 1_000L
    }
}
