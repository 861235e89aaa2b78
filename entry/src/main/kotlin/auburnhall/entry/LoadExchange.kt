/*
 * Exchanges load reports between the processes: how much work each has at which target. With few processes, each sends
 * its report to all others. With many, that would take too many datagrams, so each reports to a collector of its data
 * centre, which adds the reports up and sends the totals back. Reports are sent soon after a change; while nothing
 * changes, they are only repeated now and then, in case a datagram was lost.
 */
package auburnhall.entry

import auburnhall.core.Clock
import auburnhall.core.Scheduler
import auburnhall.core.Settings
import auburnhall.routing.CollectorSelector
import auburnhall.routing.LoadCollector
import auburnhall.routing.LoadTracker
import auburnhall.routing.LoadsByHash

/** Sends the load reports of this process and handles those of others. Traffic thread only. */
class LoadExchange(
    settings: Settings,
    private val clock: Clock,
    private val scheduler: Scheduler,
    private val loadTracker: LoadTracker,
    private val sender: PeerSender,
) {
    private val self = settings.processName
    private val dataCentre = settings.dataCentre
    private val collectorSelector = CollectorSelector(clock, self)
    private val collector = LoadCollector(clock)
    private var peers: Map<String, PeerProcess> = emptyMap()
    private var collectorTotal: LoadsByHash = emptyMap()
    private val ownSchedule = ReportSchedule(clock)
    private val localSchedule = ReportSchedule(clock)
    private val totalSchedule = ReportSchedule(clock)
    private var changeScheduled = false

    private val direct: Boolean get() = peers.size < COLLECTOR_MIN_PEERS

    private val changeDelayMs: Long get() = if (peers.size < FEW_PEERS) FEW_PEERS_CHANGE_DELAY_MS else CHANGE_DELAY_MS

    /** Starts to send reports; call once. */
    fun start() {
        loadTracker.onOwnChange = ::onChange
        repeatReports()
    }

    /** Replaces the other processes by [known]. */
    fun onPeers(known: Map<String, PeerProcess>) {
        peers = known
        collectorSelector.updateProcesses(known.filterValues { it.dataCentre == dataCentre }.keys)
    }

    private fun repeatReports() {
        sendDue()
        scheduler.after(REPEAT_MS, ::repeatReports)
    }

    /** Changes that follow each other within [changeDelayMs] are sent together. */
    private fun onChange() {
        if (changeScheduled) return
        changeScheduled = true
        scheduler.after(changeDelayMs) {
            changeScheduled = false
            sendDue()
        }
    }

    private fun sendDue() {
        val ownLoads = loadTracker.ownLoads()
        if (direct) {
            if (ownSchedule.isDue(ownLoads)) send(ownLoads, LoadScope.PROCESS, peers.keys)
        } else {
            reportToCollector(ownLoads)
        }
    }

    /** Handles a load report of one process or a total over several. */
    fun onMessage(message: PeerMessage) {
        val loads = message.loads()
        if (!direct && message.scope != LoadScope.ALL) onChange()
        when (message.scope) {
            LoadScope.PROCESS ->
                if (direct) {
                    loadTracker.onPeerReport(
                        message.process,
                        loads,
                    )
                } else {
                    collector.onReport(message.process, loads)
                }
            LoadScope.DATA_CENTRE -> collector.onDataCentreTotal(message.dataCentre, loads)
            LoadScope.ALL -> onTotal(message.process, loads)
        }
    }

    private fun reportToCollector(ownLoads: LoadsByHash) {
        val chosen = collectorSelector.choose()
        if (chosen != self && ownSchedule.isDue(ownLoads)) {
            send(ownLoads, LoadScope.PROCESS, listOf(chosen))
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
        val localLoads = collector.dataCentreTotal(ownLoads)
        val total = if (isPrimary) collector.systemTotal(localLoads) else collectorTotal
        if (isPrimary && localSchedule.isDue(localLoads)) send(localLoads, LoadScope.DATA_CENTRE, collectorCandidates())
        if (totalSchedule.isDue(total)) send(total, LoadScope.ALL, localPeers())
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

    private fun send(
        loads: LoadsByHash,
        scope: LoadScope,
        names: Collection<String>,
    ) = sender.send(PeerMessage.ofLoads(self, loads, scope, dataCentre), names)

    private fun localPeers() = peers.filterValues { it.dataCentre == dataCentre }.keys

    /** The first processes by name of each other data centre, one of which is its collector. */
    private fun collectorCandidates(): List<String> =
        peers.entries
            .filter { it.value.dataCentre != dataCentre }
            .groupBy({ it.value.dataCentre }, { it.key })
            .values
            .flatMap { it.sorted().take(COLLECTOR_CANDIDATES) }

    /** Decides when loads are sent: when they changed, and every [REPEAT_MS] milliseconds while they have not. */
    private class ReportSchedule(
        private val clock: Clock,
    ) {
        private var last: LoadsByHash? = null
        private var repeatAtMs = 0L

        fun isDue(current: LoadsByHash): Boolean {
            val now = clock.nowMs()
            if (current == last && now < repeatAtMs) return false
            last = current
            repeatAtMs = now + REPEAT_MS
            return true
        }
    }

    private companion object {
        /** Number of other processes from which on reporting to a collector takes fewer datagrams than to all. */
        const val COLLECTOR_MIN_PEERS = 6

        /** Delay of a report after a change; a small part of the duration of a stream. */
        const val CHANGE_DELAY_MS = 60L

        /** Few processes can afford shorter delays, which make up for the way by the collectors. */
        const val FEW_PEERS_CHANGE_DELAY_MS = 30L
        const val FEW_PEERS = 32

        /** Time after which unchanged loads are sent again, in case a datagram was lost. */
        const val REPEAT_MS = 300L

        /** Totals are sent to this many processes of each other data centre, in case the first one has failed. */
        const val COLLECTOR_CANDIDATES = 2
    }
}
