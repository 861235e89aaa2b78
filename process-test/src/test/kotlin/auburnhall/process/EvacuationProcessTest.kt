package auburnhall.process

import auburnhall.core.Clock
import auburnhall.standin.StandinPlatform
import org.junit.jupiter.api.AfterEach
import org.junit.jupiter.api.Assertions.assertEquals
import org.junit.jupiter.api.Assertions.assertTrue
import org.junit.jupiter.api.Test
import org.junit.jupiter.api.io.TempDir
import java.net.Socket
import java.nio.file.Files
import java.nio.file.Path
import java.util.concurrent.CompletableFuture
import java.util.concurrent.CopyOnWriteArrayList
import java.util.concurrent.Executors
import java.util.concurrent.TimeUnit
import java.util.concurrent.atomic.AtomicInteger

/** Real processes whose callers send streams all the time while a data centre of two is evacuated. */
class EvacuationProcessTest {
    @TempDir
    lateinit var dir: Path

    private val platform = StandinPlatform()
    private val store = StoreProxy(platform.storePort)
    private val peerPort = EntryProcessHandle.freePort()
    private val processes = CopyOnWriteArrayList<EntryProcessHandle>()
    private val callers = Executors.newCachedThreadPool()
    private val lastId = AtomicInteger()

    @Volatile
    private var calling = true

    @AfterEach
    fun end() {
        calling = false
        callers.shutdownNow()
        processes.forEach { it.close() }
        store.close()
    }

    private fun startProcess(
        number: Int,
        storePort: Int = platform.storePort,
    ): EntryProcessHandle {
        val started =
            EntryProcessHandle(
                "p$number",
                storePort,
                dir,
                "127.0.0.${number + 1}",
                peerPort,
                ProcessOptions(relayFrom = NO_RELAY),
            )
        processes.add(started)
        started.awaitReady()
        return started
    }

    /** Sends streams to [process] until the end of the test; returns the status lines of the responses. */
    private fun callAt(process: EntryProcessHandle): List<String> {
        val statuses = CopyOnWriteArrayList<String>()
        repeat(CALLERS) {
            callers.submit {
                while (calling) {
                    statuses.add(runCatching { call(process) }.getOrElse { it.toString() })
                    TimeUnit.MILLISECONDS.sleep(PAUSE_MS)
                }
            }
        }
        return statuses
    }

    /** Leaves the stream after its first event, so that many requests fit into the slots. */
    private fun call(process: EntryProcessHandle): String =
        Socket(process.host, process.port).use { socket ->
            socket.soTimeout = SOCKET_TIMEOUT_MS
            val head =
                "POST /chat/x HTTP/1.1\r\nHost: chat.example\r\nAttempt-Id: e-${lastId.incrementAndGet()}\r\n" +
                    "Model: assistant\r\nAuthorization: Bearer demo-key\r\nContent-Length: 0\r\n\r\n"
            socket.getOutputStream().write(head.toByteArray())
            val lines = socket.getInputStream().bufferedReader()
            val status = lines.readLine().orEmpty()
            while (status.startsWith(SERVED)) if (lines.readLine()?.startsWith("id: ") != false) break
            status
        }

    private fun arrivals(
        fromMs: Long,
        untilMs: Long = Long.MAX_VALUE,
    ) = platform.arrivals.count { it.dataCentre == EVACUATED && it.atMs in fromMs until untilMs }

    private fun await(
        what: String,
        condition: () -> Boolean,
    ) {
        val deadlineMs = Clock.SYSTEM.nowMs() + TIMEOUT_MS
        while (!condition()) {
            check(Clock.SYSTEM.nowMs() < deadlineMs) { "no $what" }
            TimeUnit.MILLISECONDS.sleep(PAUSE_MS)
        }
    }

    private fun awaitArrival() {
        val sinceMs = Clock.SYSTEM.nowMs()
        await("request at $EVACUATED") { arrivals(sinceMs) > 0 }
    }

    private fun awaitServed(statuses: List<String>) = await("stream served") { statuses.any { it.startsWith(SERVED) } }

    private fun assertServing(process: EntryProcessHandle) {
        val statuses = callAt(process)
        TimeUnit.MILLISECONDS.sleep(HELD_MS)
        val counts = statuses.groupingBy { it }.eachCount()
        assertTrue(counts.keys.any { it.startsWith(SERVED) }, "$counts, log:\n${Files.readString(process.logFile)}")
    }

    /** Guards against requests that reach an evacuated data centre, above all from a process without the store. */
    @Test
    fun `nothing reaches a worker there in time, also from a process that the store turns away or that has started`() {
        startProcess(1)
        val turnedAway = startProcess(2, store.port)
        processes[0].awaitEvent("replica.opened", times = REPLICAS)
        awaitServed(callAt(turnedAway))
        // Only the process that will be turned away has sent requests, so that it knows a replica that stays.
        await("request elsewhere") { platform.arrivals.any { it.dataCentre != EVACUATED } }
        awaitServed(callAt(processes[0]))
        awaitArrival()
        store.mode = StoreMode.REFUSING
        turnedAway.awaitEvent("store.lost")
        val written = CompletableFuture<Long>()
        platform.evacuate(EVACUATED) { written.complete(Clock.SYSTEM.nowMs()) }
        val boundMs = written.get() + EntryProcessHandle.EVACUATE_MS
        TimeUnit.MILLISECONDS.sleep(EntryProcessHandle.EVACUATE_MS)
        assertTrue("\"source\":\"peer\"" in Files.readString(turnedAway.logFile))
        assertServing(turnedAway)
        store.mode = StoreMode.SOUND
        assertServing(startProcess(3))
        assertEquals(0, arrivals(boundMs), "requests after the bound; arrivals until then: ${arrivals(0, boundMs)}")
        processes.forEach { it.awaitEvent("evacuation.empty") }
        platform.endEvacuation(EVACUATED)
        awaitArrival()
        turnedAway.awaitEvent("evacuation.ended")
    }

    private companion object {
        /** Not the data centre of the processes, which prefer theirs while it has room. */
        val EVACUATED = StandinPlatform.DATA_CENTRES.last()
        const val SERVED = "HTTP/1.1 200"
        const val REPLICAS = 2

        /** Each process reads the store itself, so that one which it turns away has the others' datagrams only. */
        const val NO_RELAY = 1_000
        const val CALLERS = 2
        const val PAUSE_MS = 20L
        const val HELD_MS = 3_000L
        const val TIMEOUT_MS = 20_000L
        const val SOCKET_TIMEOUT_MS = 15_000
    }
}
