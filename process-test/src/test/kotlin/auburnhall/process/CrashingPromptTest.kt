package auburnhall.process

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

/** Real processes whose callers send requests that crash workers, among others with the same key and first part. */
class CrashingPromptTest {
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

    private fun startProcess(number: Int): EntryProcessHandle {
        val started = EntryProcessHandle("p$number", platform.storePort, dir, "127.0.0.${number + 1}", peerPort)
        processes.add(started)
        started.awaitReady()
        return started
    }

    /** Returns the status line of the response, and waits for its end if [whole]. */
    private fun call(
        process: EntryProcessHandle,
        parts: String,
        whole: Boolean = true,
    ): String =
        Socket(process.host, process.port).use { socket ->
            socket.soTimeout = SOCKET_TIMEOUT_MS
            val id = lastId.incrementAndGet()
            val head =
                "POST /chat/x HTTP/1.1\r\nHost: chat.example\r\nAttempt-Id: r-$id\r\nModel: assistant\r\n" +
                    "Authorization: Bearer demo-key\r\nConnection: close\r\nContent-Length: 0\r\n" +
                    "Prompt-Prefix: $parts,own$id:9\r\n\r\n"
            socket.getOutputStream().write(head.toByteArray())
            val reader = socket.getInputStream().bufferedReader()
            val status = runCatching { reader.readLine() }.getOrNull().orEmpty()
            if (whole) runCatching { reader.readText() }
            status
        }

    private fun soundCall(process: EntryProcessHandle) = call(process, "$SHARED_PART:40", whole = false)

    private fun callUntilStopped(process: EntryProcessHandle) =
        callers.execute { while (!callers.isShutdown) runCatching { call(process, "$SHARED_PART:40") } }

    private fun sendCrashingRequests() =
        repeat(CRASHING_REQUESTS) {
            call(processes[it % processes.size], "$SHARED_PART:40,$CRASHING_PART:9,ab$it:5")
            TimeUnit.MILLISECONDS.sleep(CRASHING_INTERVAL_MS)
        }

    @Test
    fun `requests with a prompt part that crashed five workers are refused by all processes, and others are served`() {
        repeat(2) { startProcess(it + 1) }
        processes[0].awaitEvent("replica.opened", times = 2)
        platform.crashingPart = CRASHING_PART
        processes.forEach { process -> repeat(SOUND_CALLERS) { callUntilStopped(process) } }
        sendCrashingRequests()
        assertTrue(platform.crashes.get() <= MAX_CRASHES, "${platform.crashes} requests crashed workers")
        processes.forEach { process ->
            repeat(SOUND_CALLS) { assertEquals("HTTP/1.1 200 OK", soundCall(process)) }
        }
        val before = platform.crashes.get()
        startProcess(3)
        repeat(2) { call(processes[2], "$SHARED_PART:40,$CRASHING_PART:9") }
        assertEquals(before, platform.crashes.get(), "a process that started later has sent a crashing request")
    }

    private companion object {
        const val SHARED_PART = "5c1e07a2"
        const val CRASHING_PART = "dead"
        const val CRASHING_REQUESTS = 30
        const val CRASHING_INTERVAL_MS = 300L

        /** The fifth crash, and three requests more. */
        const val MAX_CRASHES = 8
        const val SOUND_CALLERS = 6
        const val SOUND_CALLS = 5
        const val SOCKET_TIMEOUT_MS = 30_000
    }
}
