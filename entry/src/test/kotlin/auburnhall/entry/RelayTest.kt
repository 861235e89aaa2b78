package auburnhall.entry

import auburnhall.core.Address
import auburnhall.core.KeyValueStore
import auburnhall.core.OperatorLimits
import auburnhall.core.Settings
import auburnhall.core.StoreCallback
import auburnhall.core.StoreChanges
import auburnhall.core.StoreError
import auburnhall.core.StoreItem
import auburnhall.test.FakeKeyValueStore
import auburnhall.test.FakeScheduler
import auburnhall.test.RecordingListener
import org.junit.jupiter.api.Assertions.assertEquals
import org.junit.jupiter.api.Assertions.assertNull
import org.junit.jupiter.api.Assertions.assertTrue
import org.junit.jupiter.api.Test
import kotlin.random.Random

/** Relays the store's changes between simulated processes on one thread. */
class RelayTest {
    private val time = FakeScheduler()
    private val store = FakeKeyValueStore(time)
    private val events = RecordingListener()
    private val simulated = LinkedHashMap<String, SimulatedProcess>()

    /** One process with its mirror and relay server. */
    private inner class SimulatedProcess(
        val name: String,
    ) : MirrorListener,
        ProcessDirectory,
        MirrorTiming {
        val keys = HashMap<String, String>()
        var frozen = false
        private val settings = settings(name)
        private val ownStore = CutStore()
        private val context = ControlContext(settings, ownStore, time, time, Random(1), events)
        val mirror: StoreMirror = StoreMirror(context, this, this, StoreSightings(time))
        val server = RelayServer(time, time, mirror)
        override var controller: String? = "n00"
        override val processes: Map<String, PeerProcess> get() = simulated.keys.associateWith { PeerProcess(it, "z") }

        override val batchMs = 0L
        override val waitMs: Long get() = if (server.hasClients) 200L else 3_000L
        override val relayWaitMs: Long get() = 600L / RelayTree.levels(processes.size + 1)

        /** Whether the store does not answer this process. */
        var cutFromStore by ownStore::cut

        fun start() {
            mirror.relaySelector = RelaySelector(context, this, 2) { peer, _ -> sourceOf(simulated.getValue(peer)) }
            mirror.start()
            checkPeriodically()
        }

        private fun checkPeriodically() {
            mirror.checkAge()
            time.after(100) { checkPeriodically() }
        }

        override fun onPut(item: StoreItem) {
            keys[item.key] = String(item.value)
        }

        override fun onRemoved(
            key: String,
            revision: Long,
        ) {
            keys.remove(key)
        }

        override fun onBatch(revision: Long) = server.onChanges()
    }

    private fun sourceOf(parent: SimulatedProcess) =
        InProcessSource(parent.name, parent.server, time) { !parent.frozen }

    /** The store as one process sees it. */
    private inner class CutStore : KeyValueStore by store {
        var cut = false

        override fun watch(
            prefix: String,
            revision: Long,
            waitMs: Long,
            done: StoreCallback<StoreChanges>,
        ) = store.watch(prefix, revision, waitMs) { if (!cut) done(it) }
    }

    private fun settings(name: String) =
        Settings(name, "z", name, ADDRESS, ADDRESS, 1, ADDRESS, 1_000, true, OperatorLimits(8_000, 0.2, 10, 10_000))

    private fun startProcesses(count: Int) {
        repeat(count) { index -> "n%02d".format(index).let { simulated[it] = SimulatedProcess(it) } }
        simulated.values.forEach { it.start() }
        time.advance(SETTLE_MS)
    }

    private fun storeWatches() = store.calls["watch"] ?: 0

    @Test
    fun `every process but the root has one parent, at most FAN_OUT children, and a path to the root`() {
        val names = (0 until 300).map { "n$it" }
        val parents = names.associateWith { RelayTree.parents(it, "n7", names).firstOrNull() }
        assertNull(parents["n7"])
        assertEquals(1, parents.values.count { it == null })
        val childCounts =
            parents.values
                .filterNotNull()
                .groupingBy { it }
                .eachCount()
        assertTrue(childCounts.values.all { it <= RelayTree.FAN_OUT }, childCounts.toString())
        for (name in names) {
            val path = generateSequence(name) { parents[it] }.take(10).toList()
            assertEquals("n7", path.last())
            assertTrue(path.size <= 4)
        }
    }

    @Test
    fun `changes reach 40 processes through the watch of one process`() {
        startProcesses(40)
        val before = storeWatches()
        store.put("op/config", "v2")
        time.advance(100)
        assertTrue(simulated.values.all { it.keys["op/config"] == "v2" })
        store.remove("op/config")
        time.advance(100)
        assertTrue(simulated.values.none { "op/config" in it.keys })
        time.advance(800)
        assertTrue(storeWatches() - before <= 10, "${storeWatches() - before} watches in a second")
    }

    @Test
    fun `changes still arrive when parent processes stop responding`() {
        startProcesses(40)
        simulated.getValue("n01").frozen = true
        simulated.getValue("n00").frozen = true
        store.put("op/config", "v2")
        time.advance(900)
        val behind = simulated.values.filter { !it.frozen && it.keys["op/config"] != "v2" }.map { it.name }
        assertEquals(emptyList<String>(), behind)
    }

    @Test
    fun `when the controller is cut from the store, only its children ask the store`() {
        startProcesses(40)
        events.events.clear()
        simulated.getValue("n00").cutFromStore = true
        repeat(30) {
            time.advance(100)
            assertTrue(simulated.values.filter { it.name != "n00" }.all { (it.mirror.ageMs ?: 0) <= 1_200 })
        }
        val toStore = events.events.count { it.name == "relay.chosen" && ("source" to "store") in it.details }
        assertEquals(RelayTree.FAN_OUT, toStore)
    }

    @Test
    fun `while there is no controller, processes keep taking changes from each other`() {
        startProcesses(40)
        events.events.clear()
        simulated.values.forEach { it.controller = null }
        time.advance(1_000)
        store.put("op/config", "v2")
        time.advance(100)
        assertTrue(simulated.values.all { it.keys["op/config"] == "v2" })
        assertEquals(0, events.names.count { it == "relay.chosen" })
    }

    @Test
    fun `a process without a connection to the store does not relay state that is too old`() {
        startProcesses(3)
        val child = simulated.getValue("n02")
        store.outage = StoreError.TurnedAway(503)
        store.reconnect()
        time.advance(1_500)
        assertTrue(child.mirror.disconnected)
        assertTrue(child.mirror.storeWasUnavailable)
        store.outage = null
        store.put("op/config", "v3")
        time.advance(1_500)
        assertTrue(simulated.values.all { it.keys["op/config"] == "v3" })
    }

    @Test
    fun `a process whose state is too old reads from the store instead of trying one parent after another`() {
        startProcesses(40)
        val names = simulated.keys.toList().take(17)
        names.forEach { simulated.getValue(it).frozen = true }
        events.events.clear()
        time.advance(1_500)
        val others = simulated.values.filter { !it.frozen }
        store.put("op/config", "v2")
        time.advance(50)
        assertTrue(others.all { it.keys["op/config"] == "v2" })
        assertTrue(events.names.count { it == "relay.lost" } <= 3 * others.size)
    }

    @Test
    fun `processes load all items again from the store after it compacted its history`() {
        startProcesses(20)
        store.put("k/a", "1")
        time.advance(100)
        store.compact()
        store.remove("k/a")
        store.put("k/b", "1")
        time.advance(1_500)
        assertTrue(simulated.values.all { it.keys == mapOf("k/b" to "1") })
    }

    @Test
    fun `relayed changes are decoded as they were encoded`() {
        val sent = RelayedChanges(7, 12, true, listOf(RelayedChange("a", 6, "x".toByteArray()), RelayedChange("b", 7)))
        val decoded = RelayedChanges.decode(sent.encode())
        assertEquals(listOf("a", "b"), decoded.changes.map { it.toChange().key })
        assertEquals(7, decoded.at)
        assertEquals(12, decoded.ageMs)
        assertTrue(decoded.storeWasUnavailable)
    }

    private companion object {
        val ADDRESS = Address("127.0.0.1", 1)
        val EMPTY = ByteArray(0)

        /** By then, parents that were not ready at the start are selected again. */
        const val SETTLE_MS = 7_000L
    }
}
