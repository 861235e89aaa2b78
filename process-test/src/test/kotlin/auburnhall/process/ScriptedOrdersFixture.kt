package auburnhall.process

import auburnhall.standin.StandinPlatform
import org.junit.jupiter.api.AfterEach
import org.junit.jupiter.api.io.TempDir
import java.net.Socket
import java.nio.file.Path

/** A real process in front of a scripted worker of the plain service. */
abstract class ScriptedOrdersFixture {
    @TempDir
    lateinit var dir: Path

    private val platform = StandinPlatform()
    protected val worker = ScriptedOrders(platform)
    private val process = lazy { EntryProcessHandle("p1", platform.storePort, dir) }

    @AfterEach
    fun end() {
        process.value.close()
        worker.close()
    }

    /** Waits until an order is served. */
    protected fun awaitServing() {
        process.value.awaitReady()
        while (order("warm-up") != SERVED) Thread.onSpinWait()
    }

    /** The status of the response to an order; empty if the connection is closed without one. */
    protected fun order(
        id: String,
        extraHeaders: String = "",
    ): String =
        Socket("127.0.0.1", process.value.port).use { socket ->
            socket.soTimeout = SOCKET_TIMEOUT_MS
            val head =
                "POST /orders/0/10 HTTP/1.1\r\nHost: chat.example\r\nAttempt-Id: $id\r\n$extraHeaders" +
                    "Authorization: Bearer demo-key\r\nConnection: close\r\nContent-Length: 0\r\n\r\n"
            socket.getOutputStream().write(head.toByteArray())
            val line = runCatching { socket.getInputStream().bufferedReader().readLine() }.getOrNull()
            line.orEmpty().substringAfter(' ')
        }

    protected companion object {
        private const val SOCKET_TIMEOUT_MS = 10_000
        const val SERVED = "200 OK"
    }
}
