/*
 * A worker on the loopback interface that responds to each request with the exact bytes that a test gives.
 */
package auburnhall.gateway

import java.net.InetAddress
import java.net.ServerSocket
import java.net.Socket
import java.util.concurrent.CopyOnWriteArrayList
import java.util.concurrent.CountDownLatch
import java.util.concurrent.LinkedBlockingQueue
import java.util.concurrent.TimeUnit
import java.util.concurrent.atomic.AtomicLong

/** The response to one request. */
sealed interface Script {
    /** Send [text] and keep the connection. */
    data class Send(
        val text: String,
    ) : Script

    /** Send [text], then close the connection. */
    data class Close(
        val text: String,
    ) : Script

    /** Send [text], then reset the connection once [received] is open: a reset drops what has not been read. */
    data class Reset(
        val text: String,
        val received: CountDownLatch = CountDownLatch(0),
    ) : Script

    /** Send [head], then [part] again and again until the connection is closed. */
    data class Endless(
        val head: String,
        val part: String,
    ) : Script

    /** Send [head], and [rest] once [ready] is open. */
    data class Stalled(
        val head: String,
        val ready: CountDownLatch,
        val rest: String,
    ) : Script

    /** Act by [resumed] if the request asks for the events after one, and by [first] otherwise. */
    data class Resumable(
        val first: Script,
        val resumed: Script,
    ) : Script

    /** Act by what [choose] returns for the request. */
    class Chosen(
        val choose: () -> Script,
    ) : Script

    /** Read the request and send nothing. */
    data object NoResponse : Script
}

/** Accepts connections and responds to each request by the next of [scripts], and not at all after the last. */
class ScriptedWorker(
    vararg scripts: Script,
) : AutoCloseable {
    private val server = ServerSocket(0, 50, InetAddress.getLoopbackAddress())
    private val remainingScripts = LinkedBlockingQueue(scripts.asList())
    private val openConnections = CopyOnWriteArrayList<Socket>()

    /** Heads of the requests that were received. */
    val requests = CopyOnWriteArrayList<String>()

    /** Bytes of endless responses that the connections have taken. */
    val endlessBytes = AtomicLong()

    /** Connections that were closed. */
    val closedConnections = LinkedBlockingQueue<Socket>()
    val port: Int get() = server.localPort

    init {
        startDaemon { while (!server.isClosed) accept() }
    }

    /** Waits until a connection is closed; returns false after [CLOSE_TIMEOUT_S] seconds. */
    fun awaitConnectionClose(): Boolean = closedConnections.poll(CLOSE_TIMEOUT_S, TimeUnit.SECONDS) != null

    override fun close() {
        server.close()
        openConnections.forEach { it.close() }
    }

    private fun accept() {
        val socket = runCatching { server.accept() }.getOrNull() ?: return
        openConnections.add(socket)
        startDaemon { serve(socket) }
    }

    private fun serve(socket: Socket) {
        while (!socket.isClosed) {
            val head = readHead(socket) ?: break
            requests.add(head)
            act(socket, remainingScripts.poll() ?: Script.NoResponse, resumed = "\r\nafter: " in head)
        }
        closedConnections.add(socket)
    }

    private fun act(
        socket: Socket,
        script: Script,
        resumed: Boolean,
    ) {
        when (script) {
            is Script.Resumable -> act(socket, if (resumed) script.resumed else script.first, resumed)
            is Script.Chosen -> act(socket, script.choose(), resumed)
            is Script.Send -> write(socket, script.text)
            is Script.Endless -> writeEndlessly(socket, script)
            is Script.Stalled -> {
                write(socket, script.head)
                script.ready.await()
                runCatching { write(socket, script.rest) }
            }
            is Script.NoResponse -> Unit
            is Script.Close -> {
                write(socket, script.text)
                socket.close()
            }
            is Script.Reset -> {
                write(socket, script.text)
                script.received.await()
                socket.setSoLinger(true, 0)
                socket.close()
            }
        }
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

    private fun writeEndlessly(
        socket: Socket,
        script: Script.Endless,
    ) {
        write(socket, script.head)
        val part = script.part.repeat(ENDLESS_WRITE_BYTES / script.part.length).toByteArray()
        while (runCatching {
                socket.getOutputStream().write(
                    part,
                )
            }.isSuccess
        ) {
            endlessBytes.addAndGet(part.size.toLong())
        }
        socket.close()
    }

    private fun startDaemon(task: () -> Unit) = Thread(task).apply { isDaemon = true }.start()

    private companion object {
        const val CLOSE_TIMEOUT_S = 20L
        const val ENDLESS_WRITE_BYTES = 65_536
    }
}
