/*
 * A worker on loopback that answers each request as a test says, byte for byte.
 */
package auburnhall.gateway

import java.net.InetAddress
import java.net.ServerSocket
import java.net.Socket
import java.util.concurrent.CopyOnWriteArrayList
import java.util.concurrent.LinkedBlockingQueue
import java.util.concurrent.TimeUnit

/** What to do with one request. */
sealed interface Script {
    /** Send [text] and keep the connection. */
    data class Send(
        val text: String,
    ) : Script

    /** Send [text], then reset the connection. */
    data class Reset(
        val text: String,
    ) : Script

    /** Read the request and stay silent. */
    data object Silence : Script
}

/** Accepts connections and plays [scripts] one request after the other. */
class ScriptedWorker(
    vararg scripts: Script,
) : AutoCloseable {
    private val server = ServerSocket(0, 50, InetAddress.getLoopbackAddress())
    private val pending = LinkedBlockingQueue(scripts.asList())
    private val open = CopyOnWriteArrayList<Socket>()

    /** Heads of the requests that were read. */
    val requests = CopyOnWriteArrayList<String>()

    /** Connections that the other side has closed. */
    val closed = LinkedBlockingQueue<Socket>()
    val port: Int get() = server.localPort

    init {
        daemon { while (!server.isClosed) accept() }
    }

    /** Waits until a caller has closed its connection. */
    fun awaitClose(): Boolean = closed.poll(WAIT_S, TimeUnit.SECONDS) != null

    override fun close() {
        server.close()
        open.forEach { it.close() }
    }

    private fun accept() {
        val socket = runCatching { server.accept() }.getOrNull() ?: return
        open.add(socket)
        daemon { serve(socket) }
    }

    private fun serve(socket: Socket) {
        while (!socket.isClosed) {
            val head = readHead(socket) ?: break
            requests.add(head)
            when (val script = pending.poll() ?: Script.Silence) {
                is Script.Send -> write(socket, script.text)
                is Script.Silence -> Unit
                is Script.Reset -> {
                    write(socket, script.text)
                    socket.setSoLinger(true, 0)
                    socket.close()
                }
            }
        }
        closed.add(socket)
    }

    private fun readHead(socket: Socket): String? {
        val text = StringBuilder()
        val input = socket.getInputStream()
        while (!text.endsWith("\r\n\r\n")) {
            val next = runCatching { input.read() }.getOrDefault(-1)
            if (next < 0) return null
            text.append(next.toChar())
        }
        val length =
            Regex("content-length: (\\d+)", RegexOption.IGNORE_CASE)
                .find(text)
                ?.groupValues
                ?.get(1)
                ?.toInt() ?: 0
        repeat(length) { input.read() }
        return text.toString()
    }

    private fun write(
        socket: Socket,
        text: String,
    ) {
        socket.getOutputStream().write(text.toByteArray())
        socket.getOutputStream().flush()
    }

    private fun daemon(work: () -> Unit) = Thread(work).apply { isDaemon = true }.start()

    private companion object {
        const val WAIT_S = 20L
    }
}
