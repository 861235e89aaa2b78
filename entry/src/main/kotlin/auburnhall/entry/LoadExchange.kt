/*
 * Tells the other processes how much work this one has at which target: each of them directly while they are few, and
 * a collector of the data centre where they are many.
 */
package auburnhall.entry

import auburnhall.core.Clock
import auburnhall.core.Settings
import auburnhall.routing.CollectorSelector
import auburnhall.routing.LoadCollector
import auburnhall.routing.LoadTracker
import auburnhall.routing.LoadsByHash

/** News of load. Traffic thread only. */
class LoadExchange(
    settings: Settings,
    clock: Clock,
    private val loadTracker: LoadTracker,
    private val sender: PeerSender,
) {
    private val self = settings.processName
    private val dataCentre = settings.dataCentre
    private val choice = CollectorSelector(clock, self)
    private val collector = LoadCollector(clock)
    private var peers: Map<String, PeerProcess> = emptyMap()
    private var fromAbove: LoadsByHash = emptyMap()
    private val own = Repeated()
    private val local = Repeated()
    private val total = Repeated()

    private val direct: Boolean get() = peers.size < MANY

    /** Time, in milliseconds, between two calls of [tick]. */
    val periodMs: Long get() = if (direct) maxOf(PERIOD_MS, peers.size * PERIOD_MS_PER_PEER) else PERIOD_MS

    /** The other processes are [known]. */
    fun onPeers(known: Map<String, PeerProcess>) {
        peers = known
        choice.updateProcesses(known.filterValues { it.dataCentre == dataCentre }.keys)
    }

    /** Tells what has changed. */
    fun tick() {
        val now = loadTracker.ownLoads()
        if (direct) {
            if (own.isDue(now)) tell(now, LoadScope.PROCESS, peers.keys)
        } else {
            report(now)
        }
    }

    /** A process told its load, or sums of loads. */
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

    private fun report(now: LoadsByHash) {
        val above = choice.choose()
        if (above != self && own.isDue(now)) {
            tell(now, LoadScope.PROCESS, listOf(above))
            loadTracker.aggregate.onReportSent(now)
        }
        if (above == self || collector.hasReports) collect(now, isFirst = above == self)
    }

    /** Adds up what others report here; a collector that reports to another one passes that one's sum on as well. */
    private fun collect(
        now: LoadsByHash,
        isFirst: Boolean,
    ) {
        val reported = collector.dataCentreTotal(now)
        val sum = if (isFirst) collector.systemTotal(reported) else fromAbove
        if (isFirst && local.isDue(reported)) tell(reported, LoadScope.DATA_CENTRE, othersCollectors())
        if (total.isDue(sum)) tell(sum, LoadScope.ALL, members())
        if (isFirst) {
            loadTracker.aggregate.onReportSent(now)
            loadTracker.aggregate.onTotal(sum)
        }
    }

    private fun onTotal(
        from: String,
        loads: LoadsByHash,
    ) {
        choice.onTotalReceived(from)
        if (direct || !choice.isCurrent(from)) return
        fromAbove = loads
        loadTracker.aggregate.onTotal(loads)
    }

    private fun tell(
        loads: LoadsByHash,
        scope: LoadScope,
        names: Collection<String>,
    ) = sender.send(PeerMessage.ofLoads(self, loads, scope, dataCentre), names)

    private fun members() = peers.filterValues { it.dataCentre == dataCentre }.keys

    /** The first processes of each other data centre, one of which is its collector. */
    private fun othersCollectors(): List<String> =
        peers.entries
            .filter { it.value.dataCentre != dataCentre }
            .groupBy({ it.value.dataCentre }, { it.key })
            .values
            .flatMap { it.sorted().take(CANDIDATES) }

    /** Tells whether something is to be sent: after each change, and now and then without one. */
    private class Repeated {
        private var last: LoadsByHash? = null
        private var unchanged = 0

        fun isDue(now: LoadsByHash): Boolean {
            unchanged = if (now == last) unchanged + 1 else 0
            last = now
            return unchanged % REPEAT_EVERY == 0
        }
    }

    private companion object {
        /** Processes beyond which a collector costs each of them less than telling all others. */
        const val MANY = 32

        /** A small part of the time that a request of a stream takes. */
        const val PERIOD_MS = 60L

        /** Keeps a process with some 200 bytes of news below 8 KB/s whatever the number of processes. */
        const val PERIOD_MS_PER_PEER = 3L

        /** Periods after which load that has not changed is told again, in case a datagram was lost. */
        const val REPEAT_EVERY = 5

        /** Sums go to more than one process of a data centre, in case its first one is gone. */
        const val CANDIDATES = 2
    }
}
