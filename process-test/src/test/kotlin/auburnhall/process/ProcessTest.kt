package auburnhall.process

import auburnhall.standin.StandinPlatform
import org.junit.jupiter.api.AfterEach
import org.junit.jupiter.api.Assertions.assertEquals
import org.junit.jupiter.api.Assertions.assertTrue
import org.junit.jupiter.api.BeforeEach
import org.junit.jupiter.api.Test
import org.junit.jupiter.api.io.TempDir
import java.net.Socket
import java.nio.file.Files
import java.nio.file.Path
import java.util.concurrent.CompletableFuture
import java.util.concurrent.TimeUnit

class ProcessTest {
    @TempDir
    lateinit var dir: Path

    private val platform = StandinPlatform()
    private val processes = ArrayList<EntryProcessHandle>()

    @BeforeEach
    fun start() {
        processes.add(EntryProcessHandle("p1", platform.storePort, dir))
        processes[0].awaitReady()
        processes[0].awaitEvent("replica.opened", times = 2)
    }

    @AfterEach
    fun end() = processes.forEach { it.close() }

    private fun sendRequest(
        path: String,
        id: String,
        onReceived: (String) -> Unit = { },
    ): String =
        Socket("127.0.0.1", processes[0].port).use { socket ->
            socket.soTimeout = SOCKET_TIMEOUT_MS
            val head =
                "POST $path HTTP/1.1\r\nHost: chat.example\r\nAttempt-Id: $id\r\nModel: assistant\r\n" +
                    "Authorization: Bearer demo-key\r\nConnection: close\r\nContent-Length: 0\r\n\r\n"
            socket.getOutputStream().write(head.toByteArray())
            socket.getOutputStream().flush()
            val text = StringBuilder()
            val input = socket.getInputStream()
            while (true) {
                val next = input.read()
                if (next < 0) break
                text.append(next.toChar())
                if (text.endsWith("\n\n")) onReceived(text.toString())
            }
            text.toString()
        }

    private fun eventIds(answer: String) =
        Regex("id: (\\d+)\n").findAll(answer).map { it.groupValues[1].toInt() }.toList()

    /** Waits until a stream is answered with 200; the store shows that a head is open slightly after it opened. */
    private fun awaitServing() {
        val deadlineNanos = System.nanoTime() + TimeUnit.SECONDS.toNanos(SERVING_TIMEOUT_S)
        while (!sendRequest(
                "/chat/x",
                "warm-up",
            ).startsWith("HTTP/1.1 200")
        ) {
            check(System.nanoTime() < deadlineNanos) { "no stream was answered with 200 within $SERVING_TIMEOUT_S s" }
        }
    }

    private fun headsWithNewExecutions(before: Map<String, Int>) =
        platform.workers.filter {
            it.executions >
                before.getValue(it.identity.id)
        }

    private fun executionsByWorker() = platform.workers.associate { it.identity.id to it.executions }

    @Test
    fun `a stream continues without gaps when a member of its replica is killed, and the log says why it was late`() {
        awaitServing()
        val before = executionsByWorker()
        val killed = CompletableFuture<String>()
        val answer =
            sendRequest("/chat/x", "r-1") { text ->
                if (text.contains("id: 5\n") && !killed.isDone) {
                    val head = headsWithNewExecutions(before).single()
                    val otherMember =
                        platform.workers.first {
                            it.identity.domain == head.identity.domain &&
                                it.identity.id != head.identity.id &&
                                it.sharesReplicaWith(head)
                        }
                    platform.kill(otherMember.identity.id)
                    killed.complete(otherMember.identity.id)
                }
            }
        assertEquals((1..EVENTS_PER_STREAM).toList(), eventIds(answer))
        processes[0].awaitEvent("replica.breaking")
        val log = Files.readAllLines(processes[0].logFile).filter { it.contains("\"request\":\"r-1\"") }
        assertTrue(log.any { it.contains("request.retried") && it.contains("silent") }, log.toString())
    }

    @Test
    fun `a non-idempotent request runs once`() {
        assertTrue(sendRequest("/orders/x", "o-1").endsWith("{\"number\":1}"))
        assertEquals(1, platform.workers.last().executions)
    }

    @Test
    fun `a planned stop interrupts no stream and the process exits with 0`() {
        awaitServing()
        val answer =
            sendRequest("/chat/x", "r-2") { text -> if (text.endsWith("id: 5\ndata: n5\n\n")) processes[0].terminate() }
        assertEquals((1..EVENTS_PER_STREAM).toList(), eventIds(answer))
        assertEquals(0, processes[0].awaitExit())
    }

    /** Guards against a process that neither serves nor ends, so that nothing starts it again. */
    @Test
    fun `a process whose port is taken exits with a message`() {
        val second =
            EntryProcessHandle("p2", platform.storePort, dir, options = ProcessOptions(port = processes[0].port))
        processes.add(second)
        assertEquals(CANNOT_LISTEN, second.awaitExit())
        second.awaitText("auburnhall: cannot listen: ")
    }

    private companion object {
        const val CANNOT_LISTEN = 3
        const val EVENTS_PER_STREAM = 40
        const val SOCKET_TIMEOUT_MS = 30_000
        const val SERVING_TIMEOUT_S = 30L
    }
}
