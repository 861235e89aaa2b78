/*
 * 122 processes of three data centres choose among 35 replicas with the load reports that the exchange brings them: own
 * changes at most every 40 ms, totals of the data centre's collector at most every [totalPeriodMs].
 */
package auburnhall.routing

import auburnhall.test.FakeScheduler
import kotlin.math.abs
import kotlin.random.Random

/** Figures of one phase of the simulation. */
internal class SpreadingFigures {
    var sent = 0
    var refused = 0
    var toFull = 0
    var toFuller = 0
    var late = 0
    var newConnections = 0
    var otherDataCentre = 0
    val sentByTarget = HashMap<Pair<TargetKey, Long>, Int>()

    /** Share of the requests above the mean of their 100 ms, over [targets] targets. */
    fun aboveMean(targets: Int): Double {
        val byTime = sentByTarget.entries.groupBy({ it.key.second }, { it.value })
        val deviation =
            byTime.values.sumOf { counts ->
                val mean = counts.sum().toDouble() / targets
                counts.sumOf { abs(it - mean) } + mean * (targets - counts.size)
            }
        return deviation / 2 / sent
    }

    fun share(count: Int) = count.toDouble() / (sent + refused).coerceAtLeast(1)
}

internal class SpreadingSimulation(
    seed: Long,
    private val totalPeriodMs: Long,
) {
    private val time = FakeScheduler()
    private val random = Random(seed)
    private var available =
        List(TARGETS) { target("r$it", SLOTS, DATA_CENTRES[it * it % 7 % 3], "10.0.0.$it") }
    private val all = available.associate { it.key to SimulatedTarget(it, time, random) { r -> onFirstEvent(r) } }
    private val collectors = HashMap<String, LoadCollector>()
    private val sentTo = HashMap<SimulatedRequest, Target>()
    private val processes =
        List(PROCESSES) {
            SimulatedChooser("n$it", DATA_CENTRES[it % 3], time, random, { available }, ::onSend) { figures.refused++ }
        }

    /** Cumulative rates: a process gets 1, 2, 3 or 4 parts of the requests. */
    private val byRate = processes.flatMapIndexed { index, process -> List(1 + index % 4) { process } }
    private var figures = SpreadingFigures()
    private var perSecond = 0.0

    init {
        DATA_CENTRES.forEach { collect(it, LoadCollector(time)) }
        tick()
        arrive()
    }

    /** Plays [ms] milliseconds at [load] times the open slots, and returns the figures of this time. */
    fun play(
        ms: Long,
        load: Double,
    ): SpreadingFigures {
        perSecond = load * available.sumOf { it.slots } / MEAN_SECONDS
        figures = SpreadingFigures()
        time.advance(ms)
        return figures
    }

    val targets: Int get() = available.size

    /** Loses a replica: its requests are sent again. */
    fun loseReplica() {
        val lost = available.first()
        available = available - lost
        all.getValue(lost.key).fail().forEach { request ->
            request.process.load.end(lost.key, if (request.begun) 0 else PROMPT_TOKENS)
            request.sending++
            request.begun = false
            request.process.receive(request)
        }
    }

    /** Nothing more is sent to the targets of [dataCentre]. */
    fun evacuate(dataCentre: String) {
        available = available.filter { it.worker.dataCentre != dataCentre }
    }

    private fun arrive() {
        if (perSecond > 0) byRate.random(random).let { it.receive(SimulatedRequest(it, time.nowMs())) }
        val meanMs = 1_000 / perSecond.coerceAtLeast(1.0)
        time.after((random.nextDouble() * 2 * meanMs + random.nextDouble()).toLong(), ::arrive)
    }

    /** Tries the waiting requests, as the requests in flight do. */
    private fun tick() {
        processes.forEach { it.dispatchAll() }
        time.after(DISPATCH_PERIOD_MS, ::tick)
    }

    /** The collector of [dataCentre]: processes report at different points in time, totals go out together. */
    private fun collect(
        dataCentre: String,
        collector: LoadCollector,
    ) {
        val local = processes.filter { it.dataCentre == dataCentre }
        collectors[dataCentre] = collector
        local.forEach { process ->
            every(REPORT_PERIOD_MS, random.nextLong(REPORT_PERIOD_MS)) {
                val loads = process.load.ownLoads()
                process.load.aggregate.onReportSent(loads)
                time.after(NETWORK_MS) { collector.onReport(process.name, loads) }
            }
        }
        every(REPORT_PERIOD_MS, random.nextLong(REPORT_PERIOD_MS)) {
            val total = collector.dataCentreTotal(emptyMap())
            val others = collectors.filterKeys { it != dataCentre }.values
            time.after(NETWORK_MS) { others.forEach { it.onDataCentreTotal(dataCentre, total) } }
        }
        every(totalPeriodMs, random.nextLong(totalPeriodMs)) {
            val total = collector.systemTotal(collector.dataCentreTotal(emptyMap()))
            time.after(NETWORK_MS) { local.forEach { it.load.aggregate.onTotal(total) } }
        }
    }

    private fun every(
        periodMs: Long,
        firstMs: Long,
        task: () -> Unit,
    ) {
        time.after(firstMs) {
            task()
            every(periodMs, periodMs, task)
        }
    }

    private fun onSend(
        request: SimulatedRequest,
        target: Target,
        connected: Boolean,
    ) {
        val least = available.minOf { all.getValue(it.key).loadPerSlot }
        val receiver = all.getValue(target.key)
        figures.sent++
        if (receiver.requests >= target.slots) figures.toFull++
        if (receiver.loadPerSlot - least >= FULLER) figures.toFuller++
        if (!connected) figures.newConnections++
        if (target.worker.dataCentre != request.process.dataCentre) figures.otherDataCentre++
        figures.sentByTarget.merge(target.key to time.nowMs() / 100, 1, Int::plus)
        sentTo[request] = target
        receiver.receive(request)
    }

    private fun onFirstEvent(request: SimulatedRequest) {
        if (time.nowMs() - request.receivedAtMs > TARGET_LATENCY_MS) figures.late++
        request.process.onFirstEvent(request, sentTo.getValue(request))
    }

    companion object {
        const val PROCESSES = 122
        const val PROMPT_TOKENS = 700
        const val IDLE_TIMEOUT_MS = 60_000L
        private const val TARGETS = 35
        private const val SLOTS = 13
        private const val MEAN_SECONDS = 1.08
        private const val REPORT_PERIOD_MS = 40L
        private const val DISPATCH_PERIOD_MS = 40L
        private const val NETWORK_MS = 1L
        private const val TARGET_LATENCY_MS = 250L

        /** Part of the slots by which a target is fuller than the least loaded one. */
        private const val FULLER = 0.25
        private val DATA_CENTRES = listOf("a", "b", "c")
    }
}
