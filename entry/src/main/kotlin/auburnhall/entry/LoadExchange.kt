/*
 * Exchanges load reports between the processes: how much work each has at which target. With few processes, each sends
 * its report to all others. With many, that would take too many datagrams, so each reports to a collector of its data
 * centre, which adds the reports up and sends the totals back. Changes are sent at once, but not too often; while
 * nothing changes, reports are only repeated now and then.
 */
package auburnhall.entry

import auburnhall.core.ScheduledTask
import auburnhall.core.Settings
import auburnhall.routing.CollectorSelector
import auburnhall.routing.LoadCollector
import auburnhall.routing.LoadTracker
import auburnhall.routing.LoadsByHash

/** Sends the load reports of this process and handles those of others. Traffic thread only. */
class LoadExchange(
    settings: Settings,
    private val runtime: PeerRuntime,
    private val loadTracker: LoadTracker,
    private val sender: PeerSender,
) {
    private val clock = runtime.clock
    private val self = settings.processName
    private val dataCentre = settings.dataCentre
    private val collectorSelector = CollectorSelector(clock, self)
    private val collector = LoadCollector(clock)
    private var peers: Map<String, PeerProcess> = emptyMap()
    private var localPeers: Set<String> = emptySet()
    private var remoteCollectors: List<String> = emptyList()
    private var collectorTotal: LoadsByHash = emptyMap()
    private val ownReport = Report(LoadScope.PROCESS)
    private val localReport = Report(LoadScope.DATA_CENTRE)
    private val totalReport = Report(LoadScope.ALL)
    private var timer: ScheduledTask? = null
    private var timerAtMs = Long.MAX_VALUE

    private val direct: Boolean get() = peers.size < COLLECTOR_MIN_PEERS

    /** Starts to send reports; call once. */
    fun start() {
        loadTracker.onOwnChange = { wakeBy(clock.nowMs()) }
        wakeBy(clock.nowMs())
    }

    /** Replaces the other processes by [known]. */
    fun onPeers(known: Map<String, PeerProcess>) {
        peers = known
        localPeers = known.filterValues { it.dataCentre == dataCentre }.keys
        remoteCollectors = collectorCandidates(known - localPeers)
        collectorSelector.updateProcesses(localPeers)
    }

    /** Handles a load report of one process or a total over several. */
    fun onMessage(message: PeerMessage) {
        val loads = message.loads()
        message.storeAgeMs?.let { runtime.sightings.onReport(message.scope, it) }
        if (!direct && message.scope != LoadScope.ALL) wakeBy(clock.nowMs())
        when (message.scope) {
            LoadScope.PROCESS ->
                if (direct) {
                    loadTracker.onPeerReport(message.process, loads)
                } else {
                    collector.onReport(message.process, loads)
                }
            LoadScope.DATA_CENTRE -> collector.onDataCentreTotal(message.dataCentre, loads)
            LoadScope.ALL -> onTotal(message.process, loads)
        }
    }

    /** Sends what is due by [atMs]; what changes until then is sent together. */
    private fun wakeBy(atMs: Long) {
        if (atMs >= timerAtMs) return
        timer?.cancel()
        timerAtMs = atMs
        timer = runtime.scheduler.after((atMs - clock.nowMs()).coerceAtLeast(0), ::sendDue)
    }

    private fun sendDue() {
        timerAtMs = Long.MAX_VALUE
        val ownLoads = loadTracker.ownLoads()
        if (direct) ownReport.offer(ownLoads, peers.keys) else reportToCollector(ownLoads)
    }

    private fun reportToCollector(ownLoads: LoadsByHash) {
        val chosen = collectorSelector.choose()
        if (chosen != self && ownReport.offer(ownLoads, listOf(chosen))) {
            loadTracker.aggregate.onReportSent(ownLoads)
        }
        if (chosen == self || collector.hasReports) sendTotals(ownLoads, isPrimary = chosen == self)
    }

    /**
     * Adds up the reports of other processes and sends them the total. A process that has a collector of its own, but
     * still receives reports, forwards that collector's total.
     */
    private fun sendTotals(
        ownLoads: LoadsByHash,
        isPrimary: Boolean,
    ) {
        val openAtMs = minOf(localReport.openAtMs, totalReport.openAtMs)
        if (openAtMs > clock.nowMs()) {
            wakeBy(openAtMs)
            return
        }
        val localLoads = collector.dataCentreTotal(ownLoads)
        val total = if (isPrimary) collector.systemTotal(localLoads) else collectorTotal
        if (isPrimary) localReport.offer(localLoads, remoteCollectors)
        totalReport.offer(total, localPeers)
        if (isPrimary) {
            loadTracker.aggregate.onReportSent(ownLoads)
            loadTracker.aggregate.onTotal(total)
        }
    }

    private fun onTotal(
        senderName: String,
        loads: LoadsByHash,
    ) {
        collectorSelector.onTotalReceived(senderName)
        if (direct || !collectorSelector.isCurrent(senderName)) return
        collectorTotal = loads
        loadTracker.aggregate.onTotal(loads)
    }

    /** One kind of message, sent when its schedule says so. */
    private inner class Report(
        private val scope: LoadScope,
    ) {
        private val schedule = ReportSchedule(clock)

        /** When changed loads may be sent, in milliseconds of the monotonic clock. */
        val openAtMs: Long get() = schedule.nextChangeAtMs(periodMs())

        /** Sends [loads] to the processes [names] if that is due; wakes this process when it will be due otherwise. */
        fun offer(
            loads: LoadsByHash,
            names: Collection<String>,
        ): Boolean {
            val due = schedule.dueAtMs(loads, periodMs()) <= clock.nowMs()
            if (due) {
                schedule.onSent(loads)
                val report = PeerMessage.ofLoads(self, loads, scope, dataCentre)
                sender.send(report.copy(storeAgeMs = runtime.sightings.ageMs(scope)), names)
            }
            wakeBy(schedule.dueAtMs(loads, periodMs()))
            return due
        }

        private fun periodMs() =
            when {
                peers.size < FEW_PEERS -> FEW_PEERS_PERIOD_MS
                scope == LoadScope.ALL -> TOTAL_PERIOD_MS
                else -> REPORT_PERIOD_MS
            }
    }

    private companion object {
        /** Number of other processes from which on reporting to a collector takes fewer datagrams than to all. */
        const val COLLECTOR_MIN_PEERS = 6

        /** Shortest time between two reports of a process or a data centre. */
        const val REPORT_PERIOD_MS = 40L

        /** Shortest time between two totals, which every process gets; a small part of the duration of a stream. */
        const val TOTAL_PERIOD_MS = 110L

        /** Few processes can afford more reports. */
        const val FEW_PEERS_PERIOD_MS = 30L
        const val FEW_PEERS = 32

        /** Totals are sent to this many processes of each other data centre, in case the first one has failed. */
        const val COLLECTOR_CANDIDATES = 2

        /** The first processes by name of each data centre of [remote], one of which is its collector. */
        fun collectorCandidates(remote: Map<String, PeerProcess>): List<String> =
            remote.entries
                .groupBy({ it.value.dataCentre }, { it.key })
                .values
                .flatMap { it.sorted().take(COLLECTOR_CANDIDATES) }
    }
}
