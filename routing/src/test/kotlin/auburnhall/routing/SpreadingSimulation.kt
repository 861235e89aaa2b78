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
    private val sentByTarget = HashMap<Pair<TargetKey, Long>, Int>()
    private var aboveMean = 0.0

    fun onSent(
        target: TargetKey,
        atMs: Long,
    ) {
        sent++
        sentByTarget.merge(target to atMs / 100, 1, Int::plus)
    }

    /** Counts the requests above the mean of their 100 ms, over [targets] targets. */
    fun close(targets: Int) {
        aboveMean =
            sentByTarget.entries.groupBy({ it.key.second }, { it.value }).values.sumOf { counts ->
                val mean = counts.sum().toDouble() / targets
                (counts.sumOf { abs(it - mean) } + mean * (targets - counts.size)) / 2
            }
    }

    fun share(count: Int) = count.toDouble() / (sent + refused).coerceAtLeast(1)

    override fun toString() =
        "%5d sent".format(sent) +
            percent("to full", toFull) +
            percent("to fuller", toFuller) +
            percent("above mean", aboveMean.toInt()) +
            percent("late", late) +
            percent("refused", refused) +
            percent("new connections", newConnections) +
            percent("other data centre", otherDataCentre)

    private fun percent(
        name: String,
        count: Int,
    ) = ", $name %4.1f %%".format(100 * share(count))

    companion object {
        fun sum(parts: List<SpreadingFigures>) =
            SpreadingFigures().apply {
                sent = parts.sumOf { it.sent }
                refused = parts.sumOf { it.refused }
                toFull = parts.sumOf { it.toFull }
                toFuller = parts.sumOf { it.toFuller }
                late = parts.sumOf { it.late }
                newConnections = parts.sumOf { it.newConnections }
                otherDataCentre = parts.sumOf { it.otherDataCentre }
                aboveMean = parts.sumOf { it.aboveMean }
            }
    }
}

internal class SpreadingSimulation(
    seed: Long,
    private val totalPeriodMs: Long,
    private val leases: Boolean,
) : ChooserObserver {
    private val time = FakeScheduler()
    private val random = Random(seed)
    private var available =
        List(TARGETS) { target("r$it", SLOTS, DATA_CENTRES[it * it % 7 % 3], "10.0.0.$it") }
    private val all = available.associate { it.key to SimulatedTarget(it, time, random) { r -> onFirstEvent(r) } }
    private val reserved = HashMap<String, () -> Map<Int, Int>>()
    private val collectors = HashMap<String, LoadCollector>()
    private val sentTo = HashMap<SimulatedRequest, Target>()
    private val processes =
        List(PROCESSES) {
            SimulatedChooser("n$it", DATA_CENTRES[it % 3], time, random, { available }, this)
        }

    private val byName = processes.associateBy { it.name }

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
        figures.close(available.size)
        return figures
    }

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
        val grants = LeaseGrants(time, dataCentre, random)
        collectors[dataCentre] = collector
        reserved[dataCentre] = grants::reserved
        local.forEach { process -> afterChanges(process) { report(process, collector, grants) } }
        every(REPORT_PERIOD_MS) {
            val total = collector.dataCentreTotal(emptyMap())
            val others = collectors.filterKeys { it != dataCentre }.values
            time.after(NETWORK_MS) { others.forEach { it.onDataCentreTotal(dataCentre, total) } }
        }
        every(totalPeriodMs) {
            val total = collector.systemTotal(collector.dataCentreTotal(emptyMap()))
            val reservations = reservations(reserved.keys)
            time.after(NETWORK_MS) {
                local.forEach { it.load.aggregate.onTotal(total) }
                if (leases) local.forEach { it.load.leases.onReserved(reservations) }
            }
        }
        if (leases) every(GRANT_PERIOD_MS) { grant(dataCentre, collector, grants) }
    }

    private fun report(
        process: SimulatedChooser,
        collector: LoadCollector,
        grants: LeaseGrants,
    ) {
        val loads = process.load.ownLoads()
        val waiting = process.load.waiting.own
        val received = process.load.leases.received
        val unused = process.load.leases.unusedNumbers
        process.load.aggregate.onReportSent(loads)
        time.after(NETWORK_MS) {
            collector.onReport(process.name, loads, waiting)
            grants.onReport(process.name, received, unused)
        }
    }

    private fun grant(
        dataCentre: String,
        collector: LoadCollector,
        grants: LeaseGrants,
    ) {
        val loads = collector.systemTotal(collector.dataCentreTotal(emptyMap()))
        val elsewhere = reservations(reserved.keys - dataCentre)
        val pool = TargetPool("s", "m")
        val granted = grants.grant(LeasePool(pool, available, loads, elsewhere, collector.demands(), PROCESSES))
        time.after(NETWORK_MS) {
            granted.forEach { (name, leases) -> byName.getValue(name).onGranted(dataCentre, leases) }
        }
    }

    private fun reservations(dataCentres: Set<String>): Map<Int, Int> =
        dataCentres
            .flatMap { reserved.getValue(it)().entries }
            .groupingBy { it.key }
            .fold(0) { sum, entry -> sum + entry.value }

    /** Calls [report] when the load of [process] has changed, at most every [REPORT_PERIOD_MS]. */
    private fun afterChanges(
        process: SimulatedChooser,
        report: () -> Unit,
    ) {
        var nextAtMs = 0L
        var scheduled = false
        val changed = {
            if (!scheduled) {
                scheduled = true
                time.after((nextAtMs - time.nowMs()).coerceAtLeast(0)) {
                    scheduled = false
                    nextAtMs = time.nowMs() + REPORT_PERIOD_MS
                    report()
                }
            }
        }
        process.load.onOwnChange = changed
        process.load.waiting.onOwnChange = changed
    }

    private fun every(
        periodMs: Long,
        firstMs: Long = random.nextLong(periodMs),
        task: () -> Unit,
    ) {
        time.after(firstMs) {
            task()
            every(periodMs, periodMs, task)
        }
    }

    override fun onRefused() {
        figures.refused++
    }

    override fun onSend(
        request: SimulatedRequest,
        target: Target,
        connected: Boolean,
    ) {
        val least = available.minOf { all.getValue(it.key).loadPerSlot }
        val receiver = all.getValue(target.key)
        figures.onSent(target.key, time.nowMs())
        if (receiver.requests >= target.slots) figures.toFull++
        if (receiver.loadPerSlot - least >= FULLER) figures.toFuller++
        if (!connected) figures.newConnections++
        if (target.worker.dataCentre != request.process.dataCentre) figures.otherDataCentre++
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
        const val IDLE_TIMEOUT_MS = 700L
        private const val TARGETS = 35
        private const val SLOTS = 13
        private const val MEAN_SECONDS = 1.08
        private const val REPORT_PERIOD_MS = 40L
        private const val DISPATCH_PERIOD_MS = 40L
        private const val GRANT_PERIOD_MS = 20L
        private const val NETWORK_MS = 1L
        private const val TARGET_LATENCY_MS = 250L

        /** Part of the slots by which a target is fuller than the least loaded one. */
        private const val FULLER = 0.25
        private val DATA_CENTRES = listOf("a", "b", "c")
    }
}
