/*
 * Exchanges load reports between the processes: how much work each has at which target. With few processes, each sends
 * its report to all others. With many, that would take too many datagrams, so each reports to a collector of its data
 * centre, which adds the reports up and sends the totals back.
 */
package auburnhall.entry

import auburnhall.core.Clock
import auburnhall.core.Settings
import auburnhall.routing.CollectorSelector
import auburnhall.routing.LoadCollector
import auburnhall.routing.LoadTracker
import auburnhall.routing.LoadsByHash

/** Sends the load reports of this process and handles those of others. Traffic thread only. */
class LoadExchange(
    settings: Settings,
    clock: Clock,
    private val loadTracker: LoadTracker,
    private val sender: PeerSender,
) {
    private val self = settings.processName
    private val dataCentre = settings.dataCentre
    private val collectorSelector = CollectorSelector(clock, self)
    private val collector = LoadCollector(clock)
    private var peers: Map<String, PeerProcess> = emptyMap()
    private var collectorTotal: LoadsByHash = emptyMap()
    private val ownSchedule = ResendSchedule()
    private val localSchedule = ResendSchedule()
    private val totalSchedule = ResendSchedule()

    private val direct: Boolean get() = peers.size < COLLECTOR_MIN_PEERS

    /** Interval, in milliseconds, at which [tick] is to be called. */
    val periodMs: Long get() = if (direct) maxOf(PERIOD_MS, peers.size * PERIOD_MS_PER_PEER) else PERIOD_MS

    /** Replaces the other processes by [known]. */
    fun onPeers(known: Map<String, PeerProcess>) {
        peers = known
        collectorSelector.updateProcesses(known.filterValues { it.dataCentre == dataCentre }.keys)
    }

    /** Sends the reports and totals that are due. */
    fun tick() {
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

    /** Decides when loads are sent: whenever they changed, and every [RESEND_PERIODS] periods while they have not. */
    private class ResendSchedule {
        private var last: LoadsByHash? = null
        private var unchanged = 0

        fun isDue(current: LoadsByHash): Boolean {
            unchanged = if (current == last) unchanged + 1 else 0
            last = current
            return unchanged % RESEND_PERIODS == 0
        }
    }

    private companion object {
        /** Number of other processes from which on reporting to a collector costs less than reporting to all. */
        const val COLLECTOR_MIN_PEERS = 32

        /** A small part of the duration of a streaming request. */
        const val PERIOD_MS = 60L

        /** Keeps a process whose reports take about 200 bytes below 8 KB/s whatever the number of processes. */
        const val PERIOD_MS_PER_PEER = 3L

        /** Periods after which unchanged loads are sent again, in case a datagram was lost. */
        const val RESEND_PERIODS = 5

        /** Totals are sent to this many processes of each other data centre, in case the first one has failed. */
        const val COLLECTOR_CANDIDATES = 2
    }
}
