package auburnhall.entry

import auburnhall.core.Address
import auburnhall.core.OperatorLimits
import auburnhall.core.Replica
import auburnhall.core.Settings
import auburnhall.core.Worker
import auburnhall.routing.LoadTracker
import auburnhall.routing.Target
import auburnhall.routing.TargetPool
import auburnhall.routing.TargetTable
import auburnhall.test.FakeScheduler
import org.junit.jupiter.api.Assertions.assertEquals
import org.junit.jupiter.api.Assertions.assertFalse
import org.junit.jupiter.api.Assertions.assertTrue
import org.junit.jupiter.api.Test

/** Grants leases between simulated processes of three data centres; a datagram takes one millisecond. */
class LeaseExchangeTest {
    private val time = FakeScheduler()
    private val processes = LinkedHashMap<String, SimulatedProcess>()
    private var targets: List<Target> = emptyList()

    private inner class SimulatedProcess(
        val name: String,
        val dataCentre: String,
    ) : PeerSender {
        val load = LoadTracker(time)
        val exchange = LoadExchange(settings(), time, time, load, this) { mapOf(POOL to targets) }
        var failed = false
        var grants = 0

        fun start() {
            exchange.onPeers(processes.filterKeys { it != name }.mapValues { PeerProcess(it.key, it.value.dataCentre) })
            exchange.start()
        }

        override fun send(
            message: PeerMessage,
            names: Collection<String>,
        ) {
            if (failed) return
            val sent = PeerMessage.decode(message.encode())
            time.after(1) { names.mapNotNull { processes[it] }.filter { !it.failed }.forEach { it.receive(sent) } }
        }

        private fun receive(message: PeerMessage) {
            grants += message.leases.size
            if (message.leases.isEmpty()) exchange.onMessage(message) else exchange.onLeases(message)
        }

        private fun settings(): Settings {
            val address = Address("127.0.0.1", 1)
            val bounds = OperatorLimits(8_000, 0.2, 10, 10_000)
            return Settings(name, dataCentre, name, address, address, 1, address, 1_000, true, bounds)
        }
    }

    private fun start(
        count: Int,
        replicas: Int,
        dataCentres: Int = 3,
    ) {
        targets = List(replicas) { target(it, "dc${it % dataCentres}") }
        repeat(count) { index ->
            "n%03d".format(index).let { processes[it] = SimulatedProcess(it, "dc${index % dataCentres}") }
        }
        processes.values.forEach { it.start() }
        time.advance(1_000)
    }

    private fun target(
        index: Int,
        dataCentre: String,
    ): Target {
        val worker =
            Worker("w$index", "s", Address("h", 1), dataCentre, 1, false, 1, "d", emptyList(), emptyList(), null)
        val replica = Replica("m/$index", 1, "m", listOf(worker))
        return Target(TargetTable.keyOf(replica), worker, replica, SLOTS, "m")
    }

    /** Fills all slots but [free] by requests of the processes in turn. */
    private fun fill(free: Int) {
        val names = processes.keys.toList()
        val slots = List(SLOTS) { targets }.flatten()
        slots.drop(free).forEachIndexed { index, target ->
            processes.getValue(names[index % names.size]).load.begin(target.key, 0)
        }
        time.advance(400)
    }

    /** Guards against a request that waits for a lease longer than for a slot without leases. */
    @Test
    fun `a process with waiting requests gets as many leases within 70 ms as there are free slots`() {
        start(122, 35)
        fill(free = 30)
        val waiting = processes.values.toList()[7]
        waiting.load.waiting.onOwn(POOL, mapOf(0 to 3))
        time.advance(70)
        assertTrue(waiting.load.leases.unusedNumbers.size >= 3, "${waiting.load.leases.unusedNumbers}")
        val leased = processes.values.sumOf { it.load.leases.unusedNumbers.size }
        assertTrue(leased <= 30, "$leased leases on 30 free slots")
    }

    /** Guards against reservations that outlive the collector that made them. */
    @Test
    fun `slots are no longer reserved once the collector is lost`() {
        start(122, 35)
        fill(free = 9)
        assertTrue(processes.values.all { it.load.leases.active })
        processes.getValue("n001").failed = true
        time.advance(450)
        val local = processes.values.filter { it.dataCentre == "dc1" && !it.failed }
        assertTrue(local.none { it.load.leases.active })
        assertTrue(
            local.all {
                it.load.leases.unusedNumbers
                    .isEmpty()
            },
        )
    }

    /** Guards against a change for deployments with few processes, or with room. */
    @Test
    fun `no leases are granted with six processes or with a free slot for each process`() {
        start(6, 2)
        fill(free = 1)
        processes.values.forEach { it.load.waiting.onOwn(POOL, mapOf(0 to 1)) }
        time.advance(500)
        assertEquals(0, processes.values.sumOf { it.grants })
        assertFalse(processes.values.any { it.load.leases.active })
        assertTrue(processes.values.all { it.load.waiting.total(POOL) == 6 })
        processes.clear()
        start(20, 35)
        fill(free = 40)
        assertEquals(0, processes.values.sumOf { it.grants })
    }

    /** Guards against waiting requests that are counted twice or not at all. */
    @Test
    fun `each process knows the waiting requests of all by rank`() {
        start(122, 35)
        processes.values.forEach { it.load.waiting.onOwn(POOL, mapOf(0 to 1, 4 to 2)) }
        time.advance(300)
        assertTrue(processes.values.all { it.load.waiting.ahead(POOL, 4) == 122 && it.load.waiting.total(POOL) == 366 })
        processes.values.forEach { it.load.waiting.onOwn(POOL, emptyMap()) }
        time.advance(300)
        assertTrue(processes.values.all { it.load.waiting.total(POOL) == 0 })
    }

    private companion object {
        const val SLOTS = 40
        val POOL = TargetPool("s", "m")
    }
}
