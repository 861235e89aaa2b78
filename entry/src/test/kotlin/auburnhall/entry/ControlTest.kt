package auburnhall.entry

import auburnhall.core.Address
import auburnhall.core.Configuration
import auburnhall.core.Fleet
import auburnhall.core.OperatorLimits
import auburnhall.core.Replica
import auburnhall.core.Settings
import auburnhall.core.StoreError
import auburnhall.core.StoreItem
import auburnhall.core.StorePosition
import auburnhall.core.StoredEvacuations
import auburnhall.test.FakeKeyValueStore
import auburnhall.test.FakeScheduler
import auburnhall.test.RecordingListener
import org.junit.jupiter.api.Assertions.assertEquals
import org.junit.jupiter.api.Assertions.assertFalse
import org.junit.jupiter.api.Assertions.assertTrue
import org.junit.jupiter.api.Test
import kotlin.random.Random

class ControlTest {
    private val time = FakeScheduler()
    private val store = FakeKeyValueStore(time)
    private val events = RecordingListener()

    private fun context(
        name: String = "p1",
        seed: Int = 1,
    ) = ControlContext(settings(name), store, time, time, Random(seed), events)

    private fun settings(name: String): Settings {
        val address = Address("127.0.0.1", 1)
        return Settings(
            name,
            "z",
            "127.0.0.1",
            address,
            address,
            1,
            address,
            1_000,
            true,
            OperatorLimits(8_000, 0.2, 10, 10_000),
        )
    }

    private fun mirrorOf(recorded: MirrorListener) = StoreMirror(context(), recorded, FixedTiming, StoreSightings(time))

    private class RecordingMirrorListener : MirrorListener {
        val keys = HashMap<String, String>()
        var batches = 0

        override fun onPut(item: StoreItem) {
            keys[item.key] = String(item.value)
        }

        override fun onRemoved(
            key: String,
            revision: Long,
        ) {
            keys.remove(key)
        }

        override fun onBatch(revision: Long) {
            batches++
        }
    }

    @Test
    fun `a mirror loads all pages and follows changes`() {
        repeat(120) { store.put("k/%03d".format(it), "v$it") }
        val recorded = RecordingMirrorListener()
        mirrorOf(recorded).start()
        time.advance(100)
        assertEquals(120, recorded.keys.size)
        store.put("k/000", "new")
        store.remove("k/001")
        time.advance(100)
        assertEquals("new", recorded.keys["k/000"])
        assertEquals(119, recorded.keys.size)
    }

    /** Guards against one item that ends the watch of all others. */
    @Test
    fun `a mirror follows changes after its listener has failed for an item`() {
        val recorded = RecordingMirrorListener()
        val failing =
            object : MirrorListener by recorded {
                override fun onPut(item: StoreItem) = if (item.key == "k/odd") error("odd") else recorded.onPut(item)
            }
        mirrorOf(failing).start()
        time.advance(100)
        store.put("k/odd", "1")
        store.put("k/a", "1")
        time.advance(100)
        store.put("k/a", "2")
        time.advance(100)
        assertEquals("2", recorded.keys["k/a"])
        assertTrue("store.item_failed" in events.names)
    }

    @Test
    fun `a mirror is loaded again after the store compacted its history, including removals`() {
        store.put("k/a", "1")
        store.put("k/b", "1")
        val recorded = RecordingMirrorListener()
        mirrorOf(recorded).start()
        time.advance(50)
        store.compact()
        store.remove("k/a")
        time.advance(500)
        assertEquals(setOf("k/b"), recorded.keys.keys)
    }

    @Test
    fun `a mirror is up to date soon after an outage of the store`() {
        store.put("k/a", "1")
        val recorded = RecordingMirrorListener()
        val mirror = mirrorOf(recorded)
        mirror.start()
        time.advance(50)
        store.outage = StoreError.TurnedAway(503)
        store.reconnect()
        time.advance(5_000)
        assertTrue(mirror.disconnected)
        store.outage = null
        store.put("k/a", "2")
        time.advance(1_500)
        assertEquals("2", recorded.keys["k/a"])
        assertEquals(1, events.names.count { it == "store.lost" })
        assertEquals(1, events.names.count { it == "store.regained" })
    }

    @Test
    fun `entries that expire while the store is unavailable are removed unless written again in time`() {
        var storeUnavailable = true
        val registry = WorkerRegistry(time, events) { (time.nowMs() + 2_500).takeIf { storeUnavailable } }
        registry.onPut(entry("servers/i-1"))
        registry.onPut(entry("servers/i-2"))
        registry.onRemoved("servers/i-1")
        registry.onRemoved("servers/i-2")
        assertEquals(2, registry.fleet(1).workers.size)
        registry.onPut(entry("servers/i-1"))
        time.advance(3_000)
        assertTrue(registry.expire())
        assertEquals(setOf("i-1"), registry.fleet(2).workers.keys)
        storeUnavailable = false
        registry.onRemoved("servers/i-1")
        assertEquals(0, registry.fleet(3).workers.size)
    }

    /** Guards against a controller that takes all workers for lost, since it reaches none itself. */
    @Test
    fun `a controller that reaches no worker gives way to another process, and leads again only if it is elected`() {
        val fleet = SimulatedFleet(processes = 5, relayFrom = 2)
        fleet.advance(9_000)
        val first = fleet.live.single { it.leading }
        first.plane.isolated = true
        fleet.advance(1_000)
        val second = fleet.live.single { it.leading }
        assertTrue(second !== first)
        fleet.live.filter { it !== first }.forEach { it.plane.isolated = true }
        fleet.advance(3_000)
        assertTrue(fleet.live.none { it.leading })
        first.plane.isolated = false
        fleet.advance(3_000)
        assertTrue(first.leading)
        assertEquals(emptyList<String>(), fleet.violations)
    }

    private fun entry(key: String): StoreItem {
        val json = """{"service":"s","address":"1.1.1.1:1","zone":"z","slots":1,"state":"in_service"}"""
        return StoreItem(key, json.toByteArray(), 1)
    }

    private object FixedTiming : MirrorTiming {
        override val batchMs = 0L
        override val waitMs = 3_000L
        override val relayWaitMs = 200L
    }

    /** The mirror of a process that relays changes: it sees a change up to 100 ms late. */
    private object SlowTiming : MirrorTiming by FixedTiming {
        override val batchMs = 100L
    }

    private class KnownElection(
        override val processes: Int,
        private val isVacant: () -> Boolean = { true },
    ) : ElectionState {
        override val vacant: Boolean get() = isVacant()
    }

    private class RecordingLeadershipListener : LeadershipListener {
        val elected = ArrayList<Long>()
        var lostCount = 0

        override fun onLeadershipAcquired(position: StorePosition) {
            elected.add(position.revision)
        }

        override fun onLeadershipLost() {
            lostCount++
        }
    }

    @Test
    fun `one of two processes is elected, and the other one after the first has revoked its lease`() {
        val listeners = List(2) { RecordingLeadershipListener() }
        val processes =
            listeners.mapIndexed { index, listener -> Leadership(context("p$index"), listener, KnownElection(2)) }
        tick(processes, times = 5)
        assertEquals(1, processes.count { it.isLeading })
        val leader = processes.first { it.isLeading }
        leader.unfit = "stopping"
        time.advance(50)
        assertFalse(leader.isLeading)
        tick(processes, times = 5)
        assertTrue(processes.first { it !== leader }.isLeading)
        val revisions = listeners.flatMap { it.elected }
        assertTrue(revisions.max() > revisions.min())
    }

    private fun tick(
        processes: List<Leadership>,
        times: Int,
    ) = repeat(times) {
        processes.forEach { it.onMirrored(null) }
        time.advance(100)
    }

    @Test
    fun `a hundred processes elect a controller within a second and with few calls`() {
        val recorded = RecordingMirrorListener()
        StoreMirror(context(), recorded, SlowTiming, StoreSightings(time)).start()
        val election = KnownElection(100) { Leadership.CONTROLLER_KEY !in recorded.keys }
        val processes =
            List(100) { Leadership(context("p$it", seed = it), RecordingLeadershipListener(), election) }
        repeat(10) {
            if (election.vacant) processes.forEach { it.onMirrored(null) }
            time.advance(100)
        }
        assertEquals(1, processes.count { it.isLeading })
        val calls =
            store.calls
                .filterKeys { it != "watch" && it != "range" }
                .values
                .sum()
        assertTrue(calls < 60, store.calls.toString())
    }

    @Test
    fun `a controller that cannot renew its lease stops leading before the lease can expire`() {
        val listener = RecordingLeadershipListener()
        val leadership = Leadership(context(), listener, KnownElection(1))
        leadership.onMirrored(null)
        time.advance(500)
        assertTrue(leadership.isLeading)
        store.outage = StoreError.TurnedAway(503)
        time.advance(1_750)
        assertFalse(leadership.isLeading)
        leadership.check()
        assertEquals(1, listener.lostCount)
    }

    @Test
    fun `a claim whose response was lost is recognized when the controller key is read`() {
        val listener = RecordingLeadershipListener()
        val leadership = Leadership(context(), listener, KnownElection(1))
        store.dropsResponses = true
        leadership.onMirrored(null)
        time.advance(300)
        assertFalse(leadership.isLeading)
        store.dropsResponses = false
        val recorded =
            object : MirrorListener by RecordingMirrorListener() {
                override fun onPut(item: StoreItem) = leadership.onKey(item)
            }
        mirrorOf(recorded).start()
        time.advance(100)
        assertTrue(leadership.isLeading)
    }

    @Test
    fun `an older configuration never replaces a newer one`() {
        val applied = ArrayList<Long>()
        val view =
            StoreView(
                "p1",
                events,
                object : ViewListener {
                    override fun onState(
                        configuration: Configuration,
                        fleet: Fleet,
                        replicas: Map<String, List<Replica>>,
                        evacuated: StoredEvacuations,
                    ) {
                        applied.add(configuration.version)
                    }

                    override fun onPeers(peers: Map<String, PeerProcess>) = Unit
                },
                time,
                object : EvacuationSource {
                    override val era = 1L
                    override val readAtMs = 0L
                },
            ) { null }
        listOf(5L, 9L, 7L).forEach { version ->
            view.onPut(
                StoreItem("op/config", """{"version":$version,"routes":[],"services":[]}""".toByteArray(), version),
            )
            view.publish(version)
        }
        assertEquals(listOf(5L, 9L, 9L), applied)
    }
}
