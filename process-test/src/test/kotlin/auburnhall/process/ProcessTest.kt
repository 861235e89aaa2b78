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
    private val processes = ArrayList<EntryProcess>()

    @BeforeEach
    fun start() {
        processes.add(EntryProcess("p1", platform.storePort, dir))
        processes[0].awaitReady()
        processes[0].awaitEvent("replica.opened", times = 2)
    }

    @AfterEach
    fun end() = processes.forEach { it.close() }

    private fun call(
        path: String,
        id: String,
        onText: (String) -> Unit = { },
    ): String =
        Socket("127.0.0.1", processes[0].port).use { socket ->
            socket.soTimeout = TIMEOUT_MS
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
                if (text.endsWith("\n\n")) onText(text.toString())
            }
            text.toString()
        }

    private fun eventIds(answer: String) =
        Regex("id: (\\d+)\n").findAll(answer).map { it.groupValues[1].toInt() }.toList()

    /** Waits until a stream can be served, which the list shows a moment after the head has opened. */
    private fun awaitServing() {
        val until = System.nanoTime() + TimeUnit.SECONDS.toNanos(WAIT_S)
        while (!call(
                "/chat/x",
                "warm-up",
            ).startsWith("HTTP/1.1 200")
        ) {
            check(System.nanoTime() < until) { "nothing serves" }
        }
    }

    private fun headsThatRan(before: Map<String, Int>) =
        platform.workers.filter {
            it.runs >
                before.getValue(it.place.id)
        }

    private fun runs() = platform.workers.associate { it.place.id to it.runs }

    @Test
    fun `a stream goes on whole when a member of its replica is killed, and the log tells why it was late`() {
        awaitServing()
        val before = runs()
        val killed = CompletableFuture<String>()
        val answer =
            call("/chat/x", "r-1") { text ->
                if (text.contains("id: 5\n") && !killed.isDone) {
                    val head = headsThatRan(before).single()
                    val mate =
                        platform.workers.first {
                            it.place.domain == head.place.domain &&
                                it.place.id != head.place.id &&
                                it.inReplica(head)
                        }
                    platform.kill(mate.place.id)
                    killed.complete(mate.place.id)
                }
            }
        assertEquals((1..EVENTS).toList(), eventIds(answer))
        processes[0].awaitEvent("replica.breaking")
        val log = Files.readAllLines(processes[0].log).filter { it.contains("\"request\":\"r-1\"") }
        assertTrue(log.any { it.contains("request.retried") && it.contains("silent") }, log.toString())
    }

    @Test
    fun `an order runs once`() {
        assertTrue(call("/orders/x", "o-1").endsWith("{\"number\":1}"))
        assertEquals(1, platform.workers.last().runs)
    }

    @Test
    fun `a stop cuts off no stream and ends the process by itself`() {
        awaitServing()
        val answer =
            call("/chat/x", "r-2") { text -> if (text.endsWith("id: 5\ndata: n5\n\n")) processes[0].terminate() }
        assertEquals((1..EVENTS).toList(), eventIds(answer))
        assertEquals(0, processes[0].awaitExit())
    }

    private companion object {
        const val EVENTS = 40
        const val TIMEOUT_MS = 30_000
        const val WAIT_S = 30L
    }
}
