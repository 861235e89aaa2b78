package auburnhall.process

import auburnhall.core.Clock
import auburnhall.standin.StandinPlatform
import org.junit.jupiter.api.AfterEach
import org.junit.jupiter.api.Assertions.assertEquals
import org.junit.jupiter.api.Assertions.assertTrue
import org.junit.jupiter.api.Test
import org.junit.jupiter.api.io.TempDir
import java.net.Socket
import java.nio.file.Path
import java.util.concurrent.Executors
import java.util.concurrent.TimeUnit
import java.util.concurrent.atomic.AtomicInteger

/** Real processes whose callers send many times the requests that the only worker takes. */
class WorkerLimitTest {
    @TempDir
    lateinit var dir: Path

    private val platform = StandinPlatform()
    private val peerPort = EntryProcessHandle.freePort()
    private val processes = ArrayList<EntryProcessHandle>()
    private val callers = Executors.newCachedThreadPool()
    private val lastId = AtomicInteger()

    @AfterEach
    fun end() {
        callers.shutdownNow()
        processes.forEach { it.close() }
    }

    private fun startProcess(number: Int) {
        val started = EntryProcessHandle("p$number", platform.storePort, dir, "127.0.0.${number + 1}", peerPort)
        processes.add(started)
        started.awaitReady()
    }

    private fun call(process: EntryProcessHandle): String =
        Socket(process.host, process.port).use { socket ->
            socket.soTimeout = SOCKET_TIMEOUT_MS
            val head =
                "POST /orders/x HTTP/1.1\r\nHost: chat.example\r\nAttempt-Id: o-${lastId.incrementAndGet()}\r\n" +
                    "Authorization: Bearer demo-key\r\nConnection: close\r\nContent-Length: 0\r\n\r\n"
            socket.getOutputStream().write(head.toByteArray())
            socket.getInputStream().bufferedReader().readText()
        }

    private fun callFor(durationMs: Long): List<String> {
        val untilMs = Clock.SYSTEM.nowMs() + durationMs
        val calls =
            processes.flatMap { process ->
                List(CALLERS) {
                    callers.submit<List<String>> {
                        buildList {
                            while (Clock.SYSTEM.nowMs() < untilMs) {
                                add(call(process))
                                TimeUnit.MILLISECONDS.sleep(PAUSE_MS)
                            }
                        }
                    }
                }
            }
        return calls.flatMap { it.get() }
    }

    /** The most requests that the worker got in any [WINDOW_MS] after [fromMs]. */
    private fun mostInWindow(fromMs: Long): Int {
        val times = platform.orderTimesMs.filter { it >= fromMs }
        return times.maxOfOrNull { begin -> times.count { it in begin until begin + WINDOW_MS } } ?: 0
    }

    @Test
    fun `a worker that names a limit gets no more requests than it allows from all processes together`() {
        repeat(PROCESSES) { startProcess(it + 1) }
        platform.ordersPerSecond = LIMIT_PER_S
        val namedAtMs = Clock.SYSTEM.nowMs()
        val responses = callFor(DURATION_MS)
        val most = mostInWindow(namedAtMs + CONTACT_MS)
        assertTrue(most <= MAX_IN_WINDOW, "$most requests in ${WINDOW_MS} ms, limit $LIMIT_PER_S a second")
        assertTrue(most >= MIN_IN_WINDOW, "$most requests in ${WINDOW_MS} ms, so that the limit is not used")
        val (served, refused) = responses.partition { it.startsWith("HTTP/1.1 200") }
        assertTrue(refused.all { it.startsWith("HTTP/1.1 503") && it.contains("Retry-After:", ignoreCase = true) })
        assertEquals(platform.orderTimesMs.size, served.size)
        platform.ordersPerSecond = null
        callFor(RECOVERY_MS)
        assertTrue(callFor(WINDOW_MS).all { it.startsWith("HTTP/1.1 200") }, "refused after the limit has ended")
    }

    /** Guards against a burst at a worker that becomes cold, and against a cold worker that gets nothing. */
    @Test
    fun `a cold worker gets no more requests in a second than it bears from all processes together`() {
        val configuration =
            StandinPlatform.CONFIGURATION.replace(
                """{"name":"orders","max_connections":100}""",
                """{"name":"orders","max_connections":100,"cold_start_s":3.0,"cold_per_s":4}""",
            )
        platform.scheduler.run { platform.store.put("op/config", configuration) }
        repeat(PROCESSES) { startProcess(it + 1) }
        callFor(CONTACT_MS)
        val coldAtMs = Clock.SYSTEM.nowMs()
        platform.makeCold("i-orders", COLD_MS)
        callFor(COLD_MS)
        val times = platform.orderTimesMs.filter { it in coldAtMs + LEARN_MS..coldAtMs + COLD_MS }
        val most = times.maxOf { begin -> times.count { it in begin until begin + SECOND_MS } }
        assertTrue(most < COLD_BOUND, "$most requests in a second, bound $COLD_BOUND")
        assertTrue(times.size >= COLD_MS / SECOND_MS, "${times.size} requests while it was cold")
        processes.forEach { it.awaitEvent("worker.cold") }
    }

    private companion object {
        const val COLD_MS = 6_000L

        /** Time from the worker's statement until all processes have read its entry. */
        const val LEARN_MS = 1_500L
        const val SECOND_MS = 1_000L

        /** One and a half times the rate, and five requests. */
        const val COLD_BOUND = 11
        const val PROCESSES = 3
        const val CALLERS = 4
        const val PAUSE_MS = 60L
        const val LIMIT_PER_S = 4.0
        const val DURATION_MS = 12_000L
        const val RECOVERY_MS = 4_000L
        const val CONTACT_MS = 3_000L
        const val WINDOW_MS = 4_000L

        /** One and a half times the limit, and five requests. */
        const val MAX_IN_WINDOW = 29

        /** Half of the limit. */
        const val MIN_IN_WINDOW = 8
        const val SOCKET_TIMEOUT_MS = 30_000
    }
}
