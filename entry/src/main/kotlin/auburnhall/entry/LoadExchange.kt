/*
 * Exchanges load reports between the processes: how much work each has at which target. With few processes, each sends
 * its report to all others. With many, that would take too many datagrams, so each reports to a collector of its data
 * centre, which adds the reports up and sends the totals back. Changes are sent at once, but not too often; while
 * nothing changes, reports are only repeated now and then.
 */
package auburnhall.entry

import auburnhall.core.Clock
import auburnhall.core.ScheduledTask
import auburnhall.core.Scheduler
import auburnhall.core.Settings
import auburnhall.routing.CollectorSelector
import auburnhall.routing.LoadCollector
import auburnhall.routing.LoadTracker
import auburnhall.routing.LoadsByHash
import auburnhall.routing.WaitingByPool
import kotlin.random.Random

/** Sends the load reports of this process and handles those of others. Traffic thread only. */
class LoadExchange(
    settings: Settings,
    private val clock: Clock,
    private val scheduler: Scheduler,
    private val loadTracker: LoadTracker,
    private val sender: PeerSender,
    pools: LeasablePools,
) {
    private val self = settings.processName
    private val dataCentre = settings.dataCentre
    private val collectorSelector = CollectorSelector(clock, self)
    private val collector = LoadCollector(clock)
    private val runtime = PeerRuntime(clock, scheduler, Random(self.hashCode()))
    private val leases = LeaseExchange(settings, runtime, loadTracker, collector, pools, sender)
    private val totals = LoadTotals(loadTracker, collector, leases)
    private var peers: Map<String, PeerProcess> = emptyMap()
    private var localPeers: Set<String> = emptySet()
    private var remoteCollectors: List<String> = emptyList()
    private var collectorTotal = ReportContent(emptyMap())
    private val ownReport = Report(LoadScope.PROCESS)
    private val localReport = Report(LoadScope.DATA_CENTRE)
    private val totalReport = Report(LoadScope.ALL)
    private var timer: ScheduledTask? = null
    private var timerAtMs = Long.MAX_VALUE

    private val direct: Boolean get() = peers.size < COLLECTOR_MIN_PEERS

    /** Starts to send reports; call once. */
    fun start() {
        loadTracker.onOwnChange = { wakeBy(clock.nowMs()) }
        loadTracker.waiting.onOwnChange = { wakeBy(clock.nowMs()) }
        wakeBy(clock.nowMs())
    }

    /** Replaces the other processes by [known]. */
    fun onPeers(known: Map<String, PeerProcess>) {
        peers = known
        leases.processes = known.size + 1
        localPeers = known.filterValues { it.dataCentre == dataCentre }.keys
        remoteCollectors = collectorCandidates(known - localPeers)
        collectorSelector.updateProcesses(localPeers)
    }

    /** Handles leases that a collector has granted to this process. */
    fun onLeases(message: PeerMessage) {
        if (!direct && collectorSelector.isCurrent(message.process)) leases.onGranted(message.process, message.leases)
    }

    /** Handles a load report of one process or a total over several. */
    fun onMessage(message: PeerMessage) {
        val loads = message.loads()
        val waiting = ReportedWaiting.toWaiting(message.waiting)
        if (!direct && message.scope != LoadScope.ALL) wakeBy(clock.nowMs())
        when (message.scope) {
            LoadScope.PROCESS -> onReport(message, loads, waiting)
            LoadScope.DATA_CENTRE -> {
                collector.onDataCentreTotal(message.dataCentre, loads, waiting)
                leases.onDataCentreTotal(message.dataCentre, message.reservedByTarget().orEmpty())
            }
            LoadScope.ALL -> onTotal(message.process, ReportContent(loads, waiting, message.reservedByTarget()))
        }
    }

    private fun onReport(
        message: PeerMessage,
        loads: LoadsByHash,
        waiting: WaitingByPool,
    ) {
        collector.onReport(message.process, loads, waiting)
        if (direct) {
            loadTracker.onPeerReport(message.process, loads)
            loadTracker.waiting.onReportSent(emptyMap())
            loadTracker.waiting.onTotal(collector.dataCentreWaiting(emptyMap()))
        } else if (collectorSelector.isCurrent(self)) {
            leases.onReport(message)
        }
    }

    /** Sends what is due by [atMs]; what changes until then is sent together. */
    private fun wakeBy(atMs: Long) {
        if (atMs >= timerAtMs) return
        timer?.cancel()
        timerAtMs = atMs
        timer = scheduler.after((atMs - clock.nowMs()).coerceAtLeast(0), ::sendDue)
    }

    private fun sendDue() {
        timerAtMs = Long.MAX_VALUE
        val own = ReportContent(loadTracker.ownLoads(), loadTracker.waiting.own, leases = leases.receipt)
        if (direct) ownReport.offer(own, peers.keys) else reportToCollector(own)
    }

    private fun reportToCollector(own: ReportContent) {
        val chosen = collectorSelector.choose()
        if (chosen != self && ownReport.offer(own, listOf(chosen))) totals.onReportSent(own)
        if (chosen == self || collector.hasReports) sendTotals(own, isPrimary = chosen == self)
    }

    /**
     * Adds up the reports of other processes and sends them the total. A process that has a collector of its own, but
     * still receives reports, forwards that collector's total, without its leases.
     */
    private fun sendTotals(
        own: ReportContent,
        isPrimary: Boolean,
    ) {
        val openAtMs = minOf(localReport.openAtMs, totalReport.openAtMs)
        if (openAtMs > clock.nowMs()) {
            wakeBy(openAtMs)
            return
        }
        val local = totals.local(own)
        val total = if (isPrimary) totals.system(local) else collectorTotal.copy(reserved = null)
        if (isPrimary) localReport.offer(local, remoteCollectors)
        totalReport.offer(total, localPeers)
        if (isPrimary) {
            totals.onReportSent(own)
            totals.apply(total)
        }
    }

    private fun onTotal(
        senderName: String,
        total: ReportContent,
    ) {
        collectorSelector.onTotalReceived(senderName)
        if (direct || !collectorSelector.isCurrent(senderName)) return
        collectorTotal = total
        totals.apply(total)
    }

    /** One kind of message, sent when its schedule says so. */
    private inner class Report(
        private val scope: LoadScope,
    ) {
        private val schedule = ReportSchedule(clock)

        /** When changed loads may be sent, in milliseconds of the monotonic clock. */
        val openAtMs: Long get() = schedule.nextChangeAtMs(periodMs())

        /** Sends [content] to the processes [names] if that is due; wakes this process when it will be due. */
        fun offer(
            content: ReportContent,
            names: Collection<String>,
        ): Boolean {
            val due = schedule.dueAtMs(content, periodMs()) <= clock.nowMs()
            if (due) {
                schedule.onSent(content)
                sender.send(PeerMessage.ofReport(self, content, scope, dataCentre), names)
            }
            wakeBy(schedule.dueAtMs(content, periodMs()))
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
