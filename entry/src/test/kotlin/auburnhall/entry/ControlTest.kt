package auburnhall.entry

import auburnhall.core.Address
import auburnhall.core.Configuration
import auburnhall.core.Fleet
import auburnhall.core.OperatorLimits
import auburnhall.core.Replica
import auburnhall.core.Settings
import auburnhall.core.StoreError
import auburnhall.core.StoreItem
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

    private fun context(name: String = "p1") = ControlContext(settings(name), store, time, time, Random(1), events)

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

    private fun mirrorOf(seen: MirrorListener) = StoreMirror(context(), seen, FixedTiming)

    private class Seen : MirrorListener {
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
    fun `a mirror holds all pages and follows changes`() {
        repeat(120) { store.put("k/%03d".format(it), "v$it") }
        val seen = Seen()
        mirrorOf(seen).start()
        time.advance(100)
        assertEquals(120, seen.keys.size)
        store.put("k/000", "new")
        store.remove("k/001")
        time.advance(100)
        assertEquals("new", seen.keys["k/000"])
        assertEquals(119, seen.keys.size)
    }

    @Test
    fun `a mirror whose history is gone reads all anew and misses no removal`() {
        store.put("k/a", "1")
        store.put("k/b", "1")
        val seen = Seen()
        mirrorOf(seen).start()
        time.advance(50)
        store.compact()
        store.remove("k/a")
        time.advance(500)
        assertEquals(setOf("k/b"), seen.keys.keys)
    }

    @Test
    fun `a mirror is current soon after an outage`() {
        store.put("k/a", "1")
        val seen = Seen()
        val mirror = mirrorOf(seen)
        mirror.start()
        time.advance(50)
        store.outage = StoreError.TurnedAway(503)
        store.reconnect()
        time.advance(5_000)
        assertTrue(mirror.disconnected)
        store.outage = null
        store.put("k/a", "2")
        time.advance(1_500)
        assertEquals("2", seen.keys["k/a"])
        assertEquals(1, events.names.count { it == "store.lost" })
        assertEquals(1, events.names.count { it == "store.regained" })
    }

    @Test
    fun `entries that lapse while the store is away are gone only when they do not come back`() {
        var away = true
        val feed = WorkerRegistry(time, events) { away }
        feed.onPut(entry("servers/i-1"))
        feed.onPut(entry("servers/i-2"))
        feed.onRemoved("servers/i-1")
        feed.onRemoved("servers/i-2")
        assertEquals(2, feed.fleet(1).workers.size)
        feed.onPut(entry("servers/i-1"))
        time.advance(3_000)
        assertTrue(feed.expire())
        assertEquals(setOf("i-1"), feed.fleet(2).workers.keys)
        away = false
        feed.onRemoved("servers/i-1")
        assertEquals(0, feed.fleet(3).workers.size)
    }

    private fun entry(key: String): StoreItem {
        val json = """{"service":"s","address":"1.1.1.1:1","zone":"z","slots":1,"state":"in_service"}"""
        return StoreItem(key, json.toByteArray(), 1)
    }

    private object FixedTiming : MirrorTiming {
        override val batchMs = 0L
        override val waitMs = 3_000L
    }

    private class Terms : LeadershipListener {
        val elected = ArrayList<Long>()
        var deposed = 0

        override fun onLeadershipAcquired(revision: Long) {
            elected.add(revision)
        }

        override fun onLeadershipLost() {
            deposed++
        }
    }

    @Test
    fun `one of two processes controls, and the other one once its lease has ended`() {
        val terms = List(2) { Terms() }
        val both = terms.mapIndexed { index, of -> Leadership(context("p$index"), of) }
        both.forEach { it.onNoLeader() }
        time.advance(500)
        assertEquals(1, both.count { it.isLeading })
        val leader = both.first { it.isLeading }
        leader.stop()
        time.advance(50)
        assertFalse(leader.isLeading)
        both.forEach { it.onNoLeader() }
        time.advance(500)
        assertTrue(both.first { it !== leader }.isLeading)
        val revisions = terms.flatMap { it.elected }
        assertTrue(revisions.max() > revisions.min())
    }

    @Test
    fun `a controller that cannot renew stops giving orders before its lease can run out`() {
        val terms = Terms()
        val leadership = Leadership(context(), terms)
        leadership.onNoLeader()
        time.advance(500)
        assertTrue(leadership.isLeading)
        store.outage = StoreError.TurnedAway(503)
        time.advance(1_750)
        assertFalse(leadership.isLeading)
        leadership.check()
        assertEquals(1, terms.deposed)
    }

    @Test
    fun `a claim whose answer was lost is recognised when its key is read`() {
        val terms = Terms()
        val leadership = Leadership(context(), terms)
        store.dropsResponses = true
        leadership.onNoLeader()
        time.advance(300)
        assertFalse(leadership.isLeading)
        store.dropsResponses = false
        val seen =
            object : MirrorListener by Seen() {
                override fun onPut(item: StoreItem) = leadership.onKey(item)
            }
        mirrorOf(seen).start()
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
                    ) {
                        applied.add(configuration.version)
                    }

                    override fun onPeers(peers: Map<String, PeerProcess>) = Unit
                },
                time,
            ) { false }
        listOf(5L, 9L, 7L).forEach { version ->
            view.onPut(
                StoreItem("op/config", """{"version":$version,"routes":[],"services":[]}""".toByteArray(), version),
            )
            view.publish(version)
        }
        assertEquals(listOf(5L, 9L, 9L), applied)
    }
}
