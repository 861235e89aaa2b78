package auburnhall.entry

import auburnhall.core.Address
import auburnhall.core.OperatorLimits
import auburnhall.core.Settings
import auburnhall.routing.LoadTracker
import auburnhall.routing.TargetKey
import auburnhall.test.FakeScheduler
import org.junit.jupiter.api.Assertions.assertEquals
import org.junit.jupiter.api.Assertions.assertTrue
import org.junit.jupiter.api.Test
import kotlin.random.Random

/** Exchanges load reports between simulated processes in three data centres; a datagram takes one millisecond. */
class LoadExchangeTest {
    private val time = FakeScheduler()
    private val processes = LinkedHashMap<String, SimulatedProcess>()
    private var datagrams = 0

    private inner class SimulatedProcess(
        val name: String,
        val dataCentre: String,
    ) : PeerSender {
        val load = LoadTracker(time)
        val sightings = StoreSightings(time)
        private val runtime = PeerRuntime(time, time, Random(1), sightings)
        val exchange = LoadExchange(settings(name, dataCentre), runtime, load, this)
        var failed = false

        fun start() {
            exchange.onPeers(processes.filterKeys { it != name }.mapValues { PeerProcess(it.key, it.value.dataCentre) })
            exchange.start()
        }

        override fun send(
            message: PeerMessage,
            names: Collection<String>,
        ) {
            if (failed) return
            datagrams += names.size
            val sent = PeerMessage.decode(message.encode())
            val receivers = names.mapNotNull { processes[it] }
            time.after(1) { receivers.filter { !it.failed }.forEach { it.exchange.onMessage(sent) } }
        }
    }

    private fun settings(
        name: String,
        dataCentre: String,
    ): Settings {
        val address = Address("127.0.0.1", 1)
        val bounds = OperatorLimits(8_000, 0.2, 10, 10_000)
        return Settings(name, dataCentre, name, address, address, 1, address, 1_000, true, bounds)
    }

    private fun startProcesses(count: Int) {
        repeat(count) { index -> "n%03d".format(index).let { processes[it] = SimulatedProcess(it, "dc${index % 3}") } }
        processes.values.forEach { it.start() }
        time.advance(1_000)
    }

    private fun requestTotals() =
        processes.values.filter { !it.failed }.associate { it.name to it.load.total(KEY).requests }

    private fun differing(expected: Int) = requestTotals().filterValues { it != expected }

    @Test
    fun `each of 20 processes knows the total load within 150 ms`() {
        startProcesses(20)
        processes.values.forEach { it.load.begin(KEY, 10) }
        time.advance(150)
        assertEquals(emptyMap<String, Int>(), differing(20))
    }

    @Test
    fun `each of 130 processes knows the total load within 200 ms`() {
        startProcesses(130)
        processes.values.forEach { it.load.begin(KEY, 10) }
        time.advance(200)
        assertEquals(emptyMap<String, Int>(), differing(130))
        processes.values.take(60).forEach { it.load.end(KEY, 10) }
        time.advance(200)
        assertEquals(emptyMap<String, Int>(), differing(70))
    }

    @Test
    fun `what one process has seen of the store reaches all, and does not come back younger than it was`() {
        startProcesses(20)
        val seenAtMs = time.nowMs()
        processes.values
            .last()
            .sightings
            .onSeen(seenAtMs)
        repeat(10) { round ->
            processes.values.forEach { if (round % 2 == 0) it.load.begin(KEY, 10) else it.load.end(KEY, 10) }
            time.advance(1_000)
            val lastMs = processes.values.map { checkNotNull(it.sightings.lastMs) }
            assertTrue(lastMs.all { it in seenAtMs..seenAtMs + DELAY_SUM_MS }, lastMs.toString())
        }
    }

    @Test
    fun `a failed collector is replaced within 2500 ms`() {
        startProcesses(90)
        processes.values.forEach { it.load.begin(KEY, 10) }
        time.advance(200)
        processes.getValue("n000").failed = true
        time.advance(2_500)
        val expected = 89
        assertTrue(
            requestTotals().values.all {
                it in expected - 1..expected + 1
            },
            requestTotals()
                .values
                .groupingBy { it }
                .eachCount()
                .toString(),
        )
    }

    @Test
    fun `130 busy processes send less than a twentieth of the datagrams that reporting to all would take`() {
        startProcesses(130)
        datagrams = 0
        repeat(10) { round ->
            processes.values.forEach { if (round % 2 == 0) it.load.begin(KEY, 10) else it.load.end(KEY, 10) }
            time.advance(100)
        }
        assertTrue(datagrams < 130 * 130 * 10 / 20, "$datagrams datagrams in a second")
    }

    @Test
    fun `20 busy processes send less than a third of the datagrams that reporting to all would take`() {
        startProcesses(20)
        datagrams = 0
        repeat(10) { round ->
            processes.values.forEach { if (round % 2 == 0) it.load.begin(KEY, 10) else it.load.end(KEY, 10) }
            time.advance(100)
        }
        assertTrue(datagrams < 20 * 19 * 10 / 3, "$datagrams datagrams in a second")
    }

    @Test
    fun `processes without news send each other a few datagrams a second`() {
        startProcesses(100)
        datagrams = 0
        time.advance(3_000)
        val perProcess = datagrams / 100 / 3
        assertTrue(perProcess <= 10, "$perProcess datagrams a second from each process")
    }

    private companion object {
        /** Of the four messages through which a report reaches a process of another data centre. */
        const val DELAY_SUM_MS = 4L
        val KEY = TargetKey("m/1@1")
    }
}
