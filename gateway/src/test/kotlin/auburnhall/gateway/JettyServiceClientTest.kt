package auburnhall.gateway

import auburnhall.core.Deadline
import auburnhall.test.FakeClock
import org.junit.jupiter.api.AfterEach
import org.junit.jupiter.api.Assertions.assertEquals
import org.junit.jupiter.api.Assertions.assertInstanceOf
import org.junit.jupiter.api.Test
import java.io.InputStream
import java.net.InetAddress
import java.net.ServerSocket
import java.util.concurrent.CopyOnWriteArrayList
import kotlin.concurrent.thread

/** Against real sockets on the loopback interface. */
class JettyServiceClientTest {
    private val clock = FakeClock()
    private val client = ServiceClient(clock, ServiceClientSettings(answerBytes = 100))
    private val server = ServerSocket(0, 10, InetAddress.getLoopbackAddress())
    private val heads = CopyOnWriteArrayList<String>()

    @AfterEach
    fun close() {
        client.close()
        server.close()
    }

    @Test
    fun `an answer is passed on`() {
        serve("HTTP/1.1 201 Created\r\nContent-Type: text/plain\r\nX-Bundle: 7\r\nContent-Length: 2\r\n\r\nok")
        val result = assertInstanceOf(ServiceResult.Answered::class.java, client.call(call()))
        assertEquals("201 ok 7", "${result.status} ${result.body.decodeToString()} ${result.headers.single().value}")
    }

    @Test
    fun `a refused connection means that nothing was sent`() {
        val port = server.localPort
        server.close()
        assertInstanceOf(ServiceResult.NotSent::class.java, client.call(call(port)))
    }

    @Test
    fun `a connection that breaks after the call may mean that it was received`() {
        serve("")
        assertInstanceOf(ServiceResult.MayHaveBeenReceived::class.java, client.call(call()))
        assertEquals(1, heads.size)
    }

    @Test
    fun `half an answer may mean that the call was received`() {
        serve("HTTP/1.1 200 OK\r\nContent-Length: 50\r\n\r\nhalf")
        assertInstanceOf(ServiceResult.MayHaveBeenReceived::class.java, client.call(call()))
    }

    @Test
    fun `an answer beyond the size limit is not given to the caller`() {
        serve("HTTP/1.1 200 OK\r\nContent-Length: 101\r\n\r\n" + "x".repeat(101))
        assertInstanceOf(ServiceResult.MayHaveBeenReceived::class.java, client.call(call()))
    }

    @Test
    fun `a call that is late for its dispatch is not sent, though the connection is open`() {
        serve("HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n")
        val late = call().copy(dispatchBefore = Deadline(clock.monotonicMillis()))
        assertInstanceOf(ServiceResult.NotSent::class.java, client.call(late))
        client.close()
        assertEquals(emptyList<String>(), heads.filter { it.isNotEmpty() })
    }

    private fun call(port: Int = server.localPort) =
        ServiceCall(
            "127.0.0.1:$port",
            "POST",
            "/new",
            listOf(HeaderField("Content-Type", "application/json")),
            "{}".toByteArray(),
            Deadline(clock.monotonicMillis() + ANSWER_MILLIS),
            fresh = true,
        )

    /** Reads one call from each connection, writes [answer] and closes. */
    private fun serve(answer: String) {
        thread(isDaemon = true) {
            while (!server.isClosed) {
                runCatching {
                    server.accept().use { s ->
                        heads += readHead(s.getInputStream())
                        s.getOutputStream().write(answer.toByteArray())
                    }
                }
            }
        }
    }

    private fun readHead(from: InputStream): String {
        val text = StringBuilder()
        while (!text.endsWith("{}")) {
            val c = from.read()
            if (c < 0) break
            text.append(c.toChar())
        }
        return text.toString()
    }

    private companion object {
        const val ANSWER_MILLIS = 10_000L
    }
}
