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
import java.util.concurrent.TimeUnit
import java.util.concurrent.atomic.AtomicInteger

/**
 * A real process that reaches no worker, and two that take its orders over. The system properties `sender.jar` and
 * `helper.jar` name the programs of other commits for either role.
 */
class PassedOnOrdersTest {
    @TempDir
    lateinit var dir: Path

    private val cutOff = StandinPlatform()
    private val sound = StandinPlatform()
    private val worker = ScriptedOrders(sound)
    private val helperPort = EntryProcessHandle.freePort()
    private val processes = ArrayList<EntryProcessHandle>()
    private val lastId = AtomicInteger()

    @AfterEach
    fun end() {
        processes.forEach { it.close() }
        worker.close()
    }

    private fun startProcess(
        number: Int,
        platform: StandinPlatform,
        role: String,
    ): EntryProcessHandle {
        val jar = System.getProperty("$role.jar") ?: ProcessOptions.PROGRAM
        val options = ProcessOptions(helperPort = helperPort, jar = jar)
        val host = "127.0.0.${number + 1}"
        val started =
            EntryProcessHandle("p$number", platform.storePort, dir, host, EntryProcessHandle.freePort(), options)
        processes.add(started)
        started.awaitReady()
        return started
    }

    /** Lists workers that refuse connections, and the processes that take orders over, in the store of the sender. */
    private fun cutOffWorkers() =
        cutOff.scheduler.run {
            cutOff.workers.forEach {
                it.kill()
                cutOff.store.remove("servers/${it.identity.id}")
            }
            repeat(WORKERS) {
                val address = "127.0.0.9:${helperPort + it}"
                val entry =
                    """{"service":"orders","address":"$address","zone":"z1","slots":8,"state":"in_service"}"""
                cutOff.store.put("servers/i-dead-$it", entry)
            }
            HELPERS.forEach { cutOff.store.put("auburnhall/processes/p$it", "127.0.0.${it + 1} z1") }
        }

    private fun order(
        process: EntryProcessHandle,
        id: String,
    ): String =
        Socket(process.host, process.port).use { socket ->
            socket.soTimeout = SOCKET_TIMEOUT_MS
            val head =
                "POST /orders/0/10 HTTP/1.1\r\nHost: chat.example\r\nAttempt-Id: $id\r\nTime-Remaining: 2000\r\n" +
                    "Authorization: Bearer demo-key\r\nConnection: close\r\nContent-Length: 0\r\n\r\n"
            socket.getOutputStream().write(head.toByteArray())
            val line = runCatching { socket.getInputStream().bufferedReader().readLine() }.getOrNull()
            line.orEmpty().substringAfter(' ').take(3)
        }

    /** Sends orders until one reaches the worker, since helpers that have failed are left alone for a while. */
    private fun orderThatArrives(process: EntryProcessHandle): Pair<String, String> {
        val untilMs = Clock.SYSTEM.nowMs() + TIMEOUT_MS
        while (true) {
            val id = "o-${lastId.incrementAndGet()}"
            val status = order(process, id)
            if (id in worker.executed) return id to status
            check(Clock.SYSTEM.nowMs() < untilMs) { "no order reached the worker; the last got $status" }
            TimeUnit.MILLISECONDS.sleep(PAUSE_MS)
        }
    }

    /** Guards against a second run, and against "has not run" for an order that has (TWICE, REFUSED). */
    @Test
    fun `an order that a worker has answered runs once and is not called not run`() {
        HELPERS.forEach { startProcess(it, sound, "helper") }
        val sender = startProcess(SENDER, cutOff, "sender")
        cutOffWorkers()
        for (signature in listOf("", "Response-Stamp: s\r\n")) {
            for (status in STATUSES) {
                worker.statusOf = { "$status Any" }
                worker.fieldsOf = { signature }
                val (id, received) = orderThatArrives(sender)
                assertEquals(1, worker.executed.count { it == id }, "$status $signature $received")
                assertTrue(received !in PROMISES, "$status $signature $received")
            }
        }
        worker.statusOf = { "503 Full" }
        worker.fieldsOf = { "Not-Executed: 1\r\n" }
        assertTrue(orderThatArrives(sender).second in PROMISES + "502")
    }

    private companion object {
        const val SENDER = 3
        val HELPERS = listOf(1, 2)
        const val WORKERS = 4
        val STATUSES = listOf("200", "409", "404", "503", "429", "421", "500")
        val PROMISES = listOf("503", "429", "421", "408")
        const val PAUSE_MS = 100L
        const val TIMEOUT_MS = 20_000L
        const val SOCKET_TIMEOUT_MS = 10_000
    }
}
