/*
 * A worker of the plain service of the stand-in platform that answers each request after a time and with a length that
 * the request's path names: /orders/DELAY_MS/BODY_BYTES.
 */
package auburnhall.process

import auburnhall.standin.StandinPlatform
import java.io.InputStream
import java.net.InetAddress
import java.net.ServerSocket
import java.net.Socket
import java.util.concurrent.CopyOnWriteArrayList
import java.util.concurrent.Executors
import java.util.concurrent.TimeUnit

/** Takes the place of the worker of the plain service of [platform]. */
class ScriptedOrders(
    private val platform: StandinPlatform,
) : AutoCloseable {
    private val threads = Executors.newCachedThreadPool { task -> Thread(task).apply { isDaemon = true } }
    private val listener = ServerSocket(0, BACKLOG, InetAddress.getLoopbackAddress())

    /** Statuses of the responses, by the ids of the requests. */
    @Volatile
    var statusOf: (id: String) -> String = { "200 OK" }

    /** Header fields of the responses, by the ids of the requests, besides those that each has. */
    @Volatile
    var fieldsOf: (id: String) -> String = { "Response-Stamp: s\r\n" }

    /** Bytes that follow each response. */
    @Volatile
    var surplus = ""

    /** Bytes that precede the response to the request `id`, by the id of the one before it on its connection. */
    @Volatile
    var before: (earlierId: String, id: String) -> String = { _, _ -> "" }

    /** Ids of the requests that were executed. */
    val executed = CopyOnWriteArrayList<String>()

    init {
        threads.execute {
            while (!listener.isClosed) {
                val socket = runCatching { listener.accept() }.getOrNull() ?: break
                threads.execute { socket.use { runCatching { serve(it) } } }
            }
        }
        platform.scheduler.run {
            val short = "\"kind\":\"non_idempotent\",\"timeout_ms\":2000"
            val long = "\"kind\":\"non_idempotent\",\"timeout_ms\":$TIMEOUT_MS"
            platform.store.put("op/config", StandinPlatform.CONFIGURATION.replace(short, long))
            platform.store.remove("servers/i-orders")
            platform.store.put(
                "servers/i-scripted",
                """{"service":"orders","address":"127.0.0.1:${listener.localPort}","zone":"z1","slots":100,
                "state":"in_service"}""",
            )
        }
    }

    private fun serve(socket: Socket) {
        val input = socket.getInputStream().buffered()
        var earlier: String? = null
        while (true) {
            val head = readHead(input) ?: return
            val id = header(head, "attempt-id").orEmpty()
            repeat(header(head, "content-length")?.toInt() ?: 0) { input.read() }
            executed.add(id)
            val (delayMs, bodyBytes) =
                head
                    .lineSequence()
                    .first()
                    .split(' ')[1]
                    .removePrefix("/orders/")
                    .split('/')
            TimeUnit.MILLISECONDS.sleep(delayMs.toLong())
            val answer =
                earlier?.let { before(it, id) }.orEmpty() +
                    "HTTP/1.1 ${statusOf(id)}\r\nContent-Type: text/plain\r\nAttempt-Id: $id\r\n${fieldsOf(id)}" +
                    "Content-Length: $bodyBytes\r\n\r\n"
            socket.getOutputStream().write(answer.toByteArray() + ByteArray(bodyBytes.toInt()) + surplus.toByteArray())
            earlier = id
        }
    }

    override fun close() {
        listener.close()
        threads.shutdownNow()
    }

    companion object {
        private const val BACKLOG = 100

        /** Time-out of the route to the service, longer than the time that a process has for its stop. */
        const val TIMEOUT_MS = 20_000

        /** Reads a head without its empty line; null at the end of the connection. */
        fun readHead(input: InputStream): String? {
            val text = StringBuilder()
            while (!text.endsWith("\r\n\r\n")) {
                val next = input.read()
                if (next < 0) return null
                text.append(next.toChar())
            }
            return text.toString()
        }

        /** The value of [name], in lower case, in [head]. */
        fun header(
            head: String,
            name: String,
        ): String? =
            head
                .lineSequence()
                .firstOrNull { it.lowercase().startsWith("$name:") }
                ?.substringAfter(':')
                ?.trim()
    }
}
