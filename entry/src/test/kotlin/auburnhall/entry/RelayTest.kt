package auburnhall.entry

import auburnhall.core.Address
import auburnhall.core.OperatorLimits
import auburnhall.core.Settings
import auburnhall.core.StoreCallback
import auburnhall.core.StoreChanges
import auburnhall.core.StoreError
import auburnhall.core.StoreItem
import auburnhall.http.InboundRequest
import auburnhall.http.ResponseWriter
import auburnhall.http.newHeaders
import auburnhall.test.FakeKeyValueStore
import auburnhall.test.FakeScheduler
import auburnhall.test.RecordingListener
import com.github.michaelbull.result.Err
import com.github.michaelbull.result.Ok
import io.netty.buffer.ByteBuf
import io.netty.handler.codec.http.HttpHeaders
import io.netty.handler.codec.http.HttpMethod
import org.junit.jupiter.api.Assertions.assertEquals
import org.junit.jupiter.api.Assertions.assertNull
import org.junit.jupiter.api.Assertions.assertTrue
import org.junit.jupiter.api.Test
import kotlin.random.Random

/** Processes that take the store's changes from each other, on one thread. */
class RelayTest {
    private val time = FakeScheduler()
    private val store = FakeKeyValueStore(time)
    private val events = RecordingListener()
    private val nodes = LinkedHashMap<String, Node>()

    /** The store as one process reaches it. */
    private inner class Node(
        val name: String,
    ) : MirrorListener,
        ProcessDirectory,
        MirrorTiming {
        val keys = HashMap<String, String>()
        var frozen = false
        private val settings = settings(name)
        private val context = ControlContext(settings, store, time, time, Random(1), events)
        val mirror: StoreMirror = StoreMirror(context, this, this)
        val server = RelayServer(time, time, mirror)
        override var controller: String? = "n00"
        override val processes: Map<String, PeerProcess> get() = nodes.keys.associateWith { PeerProcess(it, "z") }

        override val batchMs = 0L
        override val waitMs: Long get() = if (server.isAsked) 200L else 3_000L

        fun start() {
            mirror.relays = RelaySelector(context, this, 2) { peer, _ -> InProcessSource(peer) }
            mirror.start()
            every()
        }

        private fun every() {
            mirror.checkAge()
            time.after(100) { every() }
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

    /** Asks the server of another node as over a connection that takes a millisecond. */
    private inner class InProcessSource(
        override val peer: String,
    ) : ChangeSource {
        override fun changes(
            revision: Long,
            waitMs: Long,
            done: StoreCallback<ChangeBatch>,
        ) {
            var over = false
            val node = nodes.getValue(peer)
            val request = InboundRequest(HttpMethod.GET, "${RelayServer.PATH}?$revision,$waitMs", newHeaders(), NONE, 0)
            val response =
                Recorder { status, body ->
                    time.after(1) {
                        if (!over && !node.frozen) {
                            over = true
                            done(if (status == 200) Ok(current(body)) else Err(StoreError.TurnedAway(status)))
                        }
                    }
                }
            time.after(waitMs + 300) {
                if (!over) {
                    over = true
                    done(Err(StoreError.NoAnswer(ADDRESS, "silent")))
                }
            }
            time.after(1) { if (!node.frozen) node.server.onRequest(request, response) }
        }

        private fun current(body: ByteArray): ChangeBatch {
            val told = RelayedChanges.decode(body)
            val changes = StoreChanges(told.changes.map { it.toChange() }, told.at)
            return ChangeBatch(changes, told.ageMs, told.storeWasAway)
        }
    }

    private class Recorder(
        private val onSent: (Int, ByteArray) -> Unit,
    ) : ResponseWriter {
        override var onDisconnect: (() -> Unit)? = null

        override fun send(
            status: Int,
            headers: HttpHeaders,
            body: ByteArray,
        ) = onSent(status, body)

        override fun start(
            status: Int,
            headers: HttpHeaders,
        ) = Unit

        override fun write(content: ByteBuf) = Unit

        override fun finish() = Unit

        override fun abort() = Unit
    }

    private fun settings(name: String) =
        Settings(name, "z", name, ADDRESS, ADDRESS, 1, ADDRESS, 1_000, true, OperatorLimits(8_000, 0.2, 10, 10_000))

    private fun startNodes(count: Int) {
        repeat(count) { index -> "n%02d".format(index).let { nodes[it] = Node(it) } }
        nodes.values.forEach { it.start() }
        time.advance(SETTLE_MS)
    }

    private fun watches() = store.calls["watch"] ?: 0

    @Test
    fun `every process has one above it, none more than the fan-out below it, and no two each other`() {
        val names = (0 until 300).map { "n$it" }
        val above = names.associateWith { RelayTree.parents(it, "n7", names).firstOrNull() }
        assertNull(above["n7"])
        assertEquals(1, above.values.count { it == null })
        val below =
            above.values
                .filterNotNull()
                .groupingBy { it }
                .eachCount()
        assertTrue(below.values.all { it <= RelayTree.FAN_OUT }, below.toString())
        for (name in names) {
            val path = generateSequence(name) { above[it] }.take(10).toList()
            assertEquals("n7", path.last())
            assertTrue(path.size <= 4)
        }
    }

    @Test
    fun `changes reach forty processes by one watch of the store`() {
        startNodes(40)
        val before = watches()
        store.put("op/config", "v2")
        time.advance(100)
        assertTrue(nodes.values.all { it.keys["op/config"] == "v2" })
        store.remove("op/config")
        time.advance(100)
        assertTrue(nodes.values.none { "op/config" in it.keys })
        time.advance(800)
        assertTrue(watches() - before <= 10, "${watches() - before} watches in a second")
    }

    @Test
    fun `changes go on arriving when those above fall silent`() {
        startNodes(40)
        nodes.getValue("n01").frozen = true
        nodes.getValue("n00").frozen = true
        store.put("op/config", "v2")
        time.advance(900)
        val behind = nodes.values.filter { !it.frozen && it.keys["op/config"] != "v2" }.map { it.name }
        assertEquals(emptyList<String>(), behind)
    }

    @Test
    fun `a process that is cut off from the store hands on nothing that is too old`() {
        startNodes(3)
        val below = nodes.getValue("n02")
        store.outage = StoreError.TurnedAway(503)
        store.reconnect()
        time.advance(1_500)
        assertTrue(below.mirror.disconnected)
        assertTrue(below.mirror.storeWasAway)
        store.outage = null
        store.put("op/config", "v3")
        time.advance(1_500)
        assertTrue(nodes.values.all { it.keys["op/config"] == "v3" })
    }

    @Test
    fun `what is too old is asked of the store, not of one process after the other`() {
        startNodes(40)
        val names = nodes.keys.toList().take(17)
        names.forEach { nodes.getValue(it).frozen = true }
        events.events.clear()
        time.advance(1_500)
        val below = nodes.values.filter { !it.frozen }
        store.put("op/config", "v2")
        time.advance(50)
        assertTrue(below.all { it.keys["op/config"] == "v2" })
        assertTrue(events.names.count { it == "relay.lost" } <= 3 * below.size)
    }

    @Test
    fun `a history that is gone is read anew from the store`() {
        startNodes(20)
        store.put("k/a", "1")
        time.advance(100)
        store.compact()
        store.remove("k/a")
        store.put("k/b", "1")
        time.advance(1_500)
        assertTrue(nodes.values.all { it.keys == mapOf("k/b" to "1") })
    }

    @Test
    fun `changes survive being told`() {
        val told = RelayedChanges(7, 12, true, listOf(RelayedChange("a", 6, "x".toByteArray()), RelayedChange("b", 7)))
        val read = RelayedChanges.decode(told.encode())
        assertEquals(listOf("a", "b"), read.changes.map { it.toChange().key })
        assertEquals(7, read.at)
        assertEquals(12, read.ageMs)
        assertTrue(read.storeWasAway)
    }

    private companion object {
        val ADDRESS = Address("127.0.0.1", 1)
        val NONE = ByteArray(0)

        /** Processes that could not be asked at the start are asked again by then. */
        const val SETTLE_MS = 7_000L
    }
}
