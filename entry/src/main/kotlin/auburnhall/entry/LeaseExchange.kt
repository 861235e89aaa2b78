/*
 * The leases on slots that this process grants while it is the collector of its data centre, and the messages that
 * carry them. Leases are granted soon after a report, since requests may be waiting for them.
 */
package auburnhall.entry

import auburnhall.core.Settings
import auburnhall.routing.LeaseGrants
import auburnhall.routing.LeasePool
import auburnhall.routing.LoadCollector
import auburnhall.routing.LoadTracker
import auburnhall.routing.ProcessDemand
import auburnhall.routing.SlotLease
import auburnhall.routing.SlotLeases
import auburnhall.routing.Target
import auburnhall.routing.TargetPool

/** Returns the targets that requests may be sent to, by pool. */
fun interface LeasablePools {
    fun current(): Map<TargetPool, List<Target>>
}

/** Grants leases to the processes that reported to [collector]. Traffic thread only. */
internal class LeaseExchange(
    settings: Settings,
    private val runtime: PeerRuntime,
    private val loadTracker: LoadTracker,
    private val collector: LoadCollector,
    private val pools: LeasablePools,
    private val sender: PeerSender,
) {
    private val self = settings.processName
    private val clock = runtime.clock
    private val grants = LeaseGrants(clock, settings.dataCentre, runtime.random)
    private val elsewhere = HashMap<String, ReceivedReservations>()
    private val takers = HashSet<String>()
    private var scheduled = false
    private var grantedAtMs = clock.nowMs()

    /** Number of processes, this one included. */
    var processes = 1

    /** What this process reports about its own leases. */
    val receipt: LeaseReceipt
        get() = loadTracker.leases.let { LeaseReceipt(it.received, it.unusedNumbers) }

    /** Slots leased by this process, by target hash. */
    fun reservedHere(): Map<Int, Int> = grants.reserved()

    /** Slots leased by this process and the collectors of the other data centres. */
    fun reservedEverywhere(): Map<Int, Int> = sum(listOf(reservedHere(), reservedElsewhere()))

    /** A process has reported; [message] says which leases it has received and used. */
    fun onReport(message: PeerMessage) {
        val received = message.leasesReceived
        if (received == null) {
            takers.remove(message.process)
        } else {
            takers.add(message.process)
            grants.onReport(message.process, received, message.leasesUnused)
        }
        grantSoon()
    }

    /** The collector of [dataCentre] has reported the slots that it has leased. */
    fun onDataCentreTotal(
        dataCentre: String,
        reserved: Map<Int, Int>,
    ) {
        elsewhere[dataCentre] = ReceivedReservations(reserved, clock.nowMs() + LeaseGrants.VALID_MS)
    }

    /** The collector [from] has granted [leases] to this process. */
    fun onGranted(
        from: String,
        leases: List<GrantedLease>,
    ) {
        val now = clock.nowMs()
        loadTracker.leases.onGranted(from, leases.map { it.toLease(now) })
    }

    private fun grantSoon() {
        if (scheduled) return
        scheduled = true
        val atMs = grantedAtMs + GRANT_PERIOD_MS
        runtime.scheduler.after((atMs - clock.nowMs()).coerceAtLeast(0), ::grant)
    }

    private fun grant() {
        scheduled = false
        grantedAtMs = clock.nowMs()
        val short = pools.current().filterValues(::isShort)
        if (short.isEmpty()) return
        receipt.let { grants.onReport(self, it.received, it.unused) }
        val ownLoads = loadTracker.ownLoads()
        val loads = collector.systemTotal(collector.dataCentreTotal(ownLoads))
        val own = ProcessDemand(ownLoads, loadTracker.waiting.own)
        val demands = collector.demands().filterKeys { it in takers } + (self to own)
        short.forEach { (pool, targets) ->
            send(grants.grant(LeasePool(pool, targets, loads, reservedElsewhere(), demands, processes)))
        }
    }

    /** Whether leases may be needed; judged by what this process knows without adding the reports up again. */
    private fun isShort(targets: List<Target>): Boolean {
        val free = targets.sumOf { (it.slots - loadTracker.total(it.key).requests).coerceAtLeast(0) }
        return SlotLeases.isShort(free, processes)
    }

    private fun send(granted: Map<String, List<SlotLease>>) {
        val now = clock.nowMs()
        granted.forEach { (name, leases) ->
            if (name == self) {
                loadTracker.leases.onGranted(self, leases)
            } else {
                // Sent as the status of no replica, which builds that do not know leases ignore.
                val message = PeerMessage(self, replica = "", leases = leases.map { GrantedLease.of(it, now) })
                sender.send(message, listOf(name))
            }
        }
    }

    private fun reservedElsewhere(): Map<Int, Int> {
        elsewhere.values.removeIf { it.validUntilMs <= clock.nowMs() }
        return sum(elsewhere.values.map { it.byTarget })
    }

    private class ReceivedReservations(
        val byTarget: Map<Int, Int>,
        val validUntilMs: Long,
    )

    private companion object {
        /** Shortest time between two rounds of leases; a part of the time that a request waits for one. */
        const val GRANT_PERIOD_MS = 20L
    }
}

private fun sum(parts: List<Map<Int, Int>>): Map<Int, Int> {
    val sum = HashMap<Int, Int>()
    parts.forEach { part -> part.forEach { (target, count) -> sum.merge(target, count, Int::plus) } }
    return sum
}
