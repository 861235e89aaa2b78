/*
 * A gateway in front of faulty workers, and a caller that reads each response to the end of its connection.
 */
package auburnhall.gateway

import auburnhall.core.Configuration
import auburnhall.core.Fleet
import auburnhall.routing.TargetTable
import org.junit.jupiter.api.AfterEach
import java.io.ByteArrayOutputStream
import java.net.Socket
import java.util.concurrent.atomic.AtomicInteger

/** What a caller has received on its connection, to the last byte. */
class Received(
    val text: String,
) {
    private val headEnd = text.indexOf("\r\n\r\n")
    private val rest = if (headEnd < 0) "" else text.substring(headEnd + 4)
    private val chunked = "transfer-encoding: chunked" in text.take(headEnd.coerceAtLeast(0)).lowercase()
    private val length =
        Regex("\r\ncontent-length: (\\d+)")
            .find(text.take(headEnd.coerceAtLeast(0)).lowercase())
            ?.groupValues
            ?.get(1)
            ?.toInt()

    /** Null if the connection was closed without a response. */
    val status: Int? = text.takeIf { headEnd >= 0 }?.substring(9, 12)?.toInt()

    /** Whether the framing says that nothing is missing. */
    val whole: Boolean

    /** The body without its framing. */
    val body: String

    init {
        if (chunked) {
            val text = StringBuilder()
            whole = readChunks(text)
            body = text.toString()
        } else {
            whole = length == rest.length
            body = rest
        }
    }

    /** Returns whether the last chunk was reached and nothing followed it. */
    private fun readChunks(into: StringBuilder): Boolean {
        var at = 0
        var size = -1
        while (size != 0 && rest.indexOf("\r\n", at) >= 0) {
            val lineEnd = rest.indexOf("\r\n", at)
            size = rest.substring(at, lineEnd).toInt(radix = 16)
            into.append(rest, lineEnd + 2, minOf(rest.length, lineEnd + 2 + size))
            at = minOf(rest.length, lineEnd + 2 + size + 2)
        }
        return size == 0 && at == rest.length && rest.endsWith("\r\n\r\n")
    }

    override fun toString() = text.replace("\r", "\\r").replace("\n", "\\n")
}

/** Tests that play many forms of a fault, each with a request and an id of its own. */
abstract class FaultyWorkerFixture : GatewayFixture() {
    private val faulty = ArrayList<FaultyWorker>()
    private val ids = AtomicInteger()

    /** Called with all that a caller has received whenever it has received more. */
    protected var onReceived: (String) -> Unit = {}

    @AfterEach
    fun closeFaulty() = faulty.forEach { it.close() }

    /** An id that was not used before, as long as all others with [prefix]. */
    protected fun newId(prefix: String) = prefix + "-%06d".format(ids.incrementAndGet())

    /** Serves by [count] workers that do [respond]; each request may be sent to all of them. */
    protected fun serveBy(
        count: Int,
        respond: (WorkerRequest) -> Script,
    ) {
        faulty.forEach { it.close() }
        val started = List(count) { FaultyWorker(respond).also(faulty::add) }
        val listed = started.map { workerEntry("f${ids.incrementAndGet()}", it.port) }
        val plain = listed.map { it.copy(service = "plain", membership = null) }
        val routes = CONFIGURATION.routes.map { it.copy(maxAttempts = count) }
        val services = CONFIGURATION.services.values.toList()
        val configuration = Configuration(1, routes, services, CONFIGURATION.customers, CONFIGURATION.limits)
        val table =
            TargetTable(
                Fleet(1, listed + plain),
                services,
                mapOf("model" to listed.map(::replica)),
            )
        loop.submit { gateway.update(GatewayState(configuration, table)) }.sync()
    }

    /** What a caller gets that waits for [waitMs] and reads until its connection is closed. */
    protected fun exchange(
        path: String,
        id: String,
        waitMs: Int = WAIT_MS,
    ): Received =
        Socket("127.0.0.1", port)
            .use { socket ->
                socket.soTimeout = SOCKET_TIMEOUT_MS
                val head =
                    "POST $path HTTP/1.1\r\nHost: h\r\nid: $id\r\nkey: k\r\nmodel: m\r\nleft: $waitMs\r\n" +
                        "connection: close\r\ncontent-length: 0\r\n\r\n"
                socket.getOutputStream().write(head.toByteArray())
                Received(readToEnd(socket))
            }.also { awaitClosed() }

    /** Waits until the gateway knows of the connections that its workers have closed. */
    private fun awaitClosed() {
        faulty.forEach { it.awaitClosed() }
        loop.submit { }.sync()
    }

    /** Reads until the connection is closed or reset. */
    private fun readToEnd(socket: Socket): String {
        val bytes = ByteArrayOutputStream()
        val part = ByteArray(READ_BYTES)
        while (true) {
            val count = runCatching { socket.getInputStream().read(part) }.getOrDefault(-1)
            if (count < 0) return bytes.toString(Charsets.ISO_8859_1)
            bytes.write(part, 0, count)
            onReceived(bytes.toString(Charsets.ISO_8859_1))
        }
    }

    private companion object {
        const val WAIT_MS = 5_000
        const val READ_BYTES = 4_096
    }
}
