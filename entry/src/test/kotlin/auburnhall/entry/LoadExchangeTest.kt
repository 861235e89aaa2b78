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

/** Many processes in three data centres tell each other their load, with datagrams that take a millisecond. */
class LoadExchangeTest {
    private val time = FakeScheduler()
    private val nodes = LinkedHashMap<String, Node>()
    private var datagrams = 0

    private inner class Node(
        val name: String,
        val dataCentre: String,
    ) : PeerSender {
        val loadTracker = LoadTracker(time)
        val news = LoadExchange(settings(name, dataCentre), time, loadTracker, this)
        var dead = false

        fun start() {
            news.onPeers(nodes.filterKeys { it != name }.mapValues { PeerProcess(it.key, it.value.dataCentre) })
            tick()
        }

        private fun tick() {
            if (!dead) news.tick()
            time.after(news.periodMs) { tick() }
        }

        override fun send(
            message: PeerMessage,
            names: Collection<String>,
        ) {
            datagrams += names.size
            val sent = PeerMessage.decode(message.encode())
            val to = names.mapNotNull { nodes[it] }
            time.after(1) { to.filter { !it.dead }.forEach { it.news.onMessage(sent) } }
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

    private fun startNodes(count: Int) {
        repeat(count) { index -> "n%03d".format(index).let { nodes[it] = Node(it, "dc${index % 3}") } }
        nodes.values.forEach { it.start() }
        time.advance(1_000)
    }

    private fun seen() = nodes.values.filter { !it.dead }.associate { it.name to it.loadTracker.total(KEY).requests }

    private fun differing(expected: Int) = seen().filterValues { it != expected }

    @Test
    fun `each of twenty processes knows the work of all`() {
        startNodes(20)
        nodes.values.forEach { it.loadTracker.begin(KEY, 10) }
        time.advance(150)
        assertEquals(emptyMap<String, Int>(), differing(20))
    }

    @Test
    fun `each of 130 processes knows the work of all within 200 ms`() {
        startNodes(130)
        nodes.values.forEach { it.loadTracker.begin(KEY, 10) }
        time.advance(200)
        assertEquals(emptyMap<String, Int>(), differing(130))
        nodes.values.take(60).forEach { it.loadTracker.end(KEY, 10) }
        time.advance(200)
        assertEquals(emptyMap<String, Int>(), differing(70))
    }

    @Test
    fun `a collector that is lost is replaced within a second`() {
        startNodes(90)
        nodes.values.forEach { it.loadTracker.begin(KEY, 10) }
        time.advance(200)
        nodes.getValue("n000").dead = true
        time.advance(2_500)
        val expected = 89
        assertTrue(
            seen().values.all {
                it in expected - 1..expected + 1
            },
            seen()
                .values
                .groupingBy { it }
                .eachCount()
                .toString(),
        )
    }

    @Test
    fun `130 processes that are busy send less than a twentieth of what telling all would take`() {
        startNodes(130)
        datagrams = 0
        repeat(10) { round ->
            nodes.values.forEach { if (round % 2 == 0) it.loadTracker.begin(KEY, 10) else it.loadTracker.end(KEY, 10) }
            time.advance(100)
        }
        assertTrue(datagrams < 130 * 130 * 10 / 20, "$datagrams datagrams in a second")
    }

    private companion object {
        val KEY = TargetKey("m/1@1")
    }
}
