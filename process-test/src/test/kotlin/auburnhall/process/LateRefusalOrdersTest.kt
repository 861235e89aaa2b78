package auburnhall.process

import auburnhall.standin.StandinPlatform
import org.junit.jupiter.api.AfterEach
import org.junit.jupiter.api.Assertions.assertEquals
import org.junit.jupiter.api.Assertions.assertTrue
import org.junit.jupiter.api.Test
import org.junit.jupiter.api.io.TempDir
import java.net.Socket
import java.nio.file.Path

/** A real process in front of a worker that writes a refusal once more before the answer to the next order. */
class LateRefusalOrdersTest {
    @TempDir
    lateinit var dir: Path

    private val platform = StandinPlatform()
    private val worker = ScriptedOrders(platform)
    private val process = lazy { EntryProcessHandle("p1", platform.storePort, dir) }

    @AfterEach
    fun end() {
        process.value.close()
        worker.close()
    }

    /** The status of the response to an order; empty if the connection is closed without one. */
    private fun order(id: String): String =
        Socket("127.0.0.1", process.value.port).use { socket ->
            socket.soTimeout = SOCKET_TIMEOUT_MS
            val head =
                "POST /orders/0/10 HTTP/1.1\r\nHost: chat.example\r\nAttempt-Id: $id\r\nTime-Remaining: 1000\r\n" +
                    "Authorization: Bearer demo-key\r\nConnection: close\r\nContent-Length: 0\r\n\r\n"
            socket.getOutputStream().write(head.toByteArray())
            val line = runCatching { socket.getInputStream().bufferedReader().readLine() }.getOrNull()
            line.orEmpty().substringAfter(' ')
        }

    private fun refusal(idField: String) =
        "HTTP/1.1 503 Full\r\n${idField}Not-Executed: 1\r\nRetry-After: 3\r\nContent-Length: 0\r\n\r\n"

    /** Guards against an order that runs and is called not run, because of an earlier refusal (REFUSED). */
    @Test
    fun `an order that runs is not called not run by a late refusal, whole or cut off`() {
        process.value.awaitReady()
        while (order("warm-up") != SERVED) Thread.onSpinWait()
        worker.statusOf = { id -> if (id.startsWith("early")) "$REFUSED\r\nNot-Executed: 1" else SERVED }
        val ways =
            listOf<(String) -> String>(
                { "Attempt-Id: $it\r\n" },
                { "" },
                { "Attempt-Id: ${it.uppercase()}\r\n" },
            )
        for (way in ways.indices) {
            for (cut in 1..refusal(ways[way]("early-0-000")).length) {
                worker.before = { earlier, id ->
                    if (id.startsWith("order")) refusal(ways[way](earlier)).take(cut) else ""
                }
                assertEquals(REFUSED, order("early-$way-%03d".format(cut)))
                val id = "order-$way-%03d".format(cut)
                val status = order(id)
                val promise = PROMISES.any(status::startsWith)
                assertTrue(!promise || id !in worker.executed, "$id: $status")
            }
        }
        assertTrue(worker.executed.count { it.startsWith("order") } > MIN_RUNS)
    }

    private companion object {
        const val SOCKET_TIMEOUT_MS = 10_000
        const val MIN_RUNS = 100
        const val SERVED = "200 OK"
        const val REFUSED = "503 Service Unavailable"
        val PROMISES = listOf("503", "429", "421", "408")
    }
}
