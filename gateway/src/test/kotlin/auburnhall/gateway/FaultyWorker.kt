/*
 * A worker on the loopback interface whose response to each request a test makes from the request and from what its
 * connection has carried before.
 */
package auburnhall.gateway

import java.net.InetAddress
import java.net.ServerSocket
import java.net.Socket
import java.util.concurrent.ConcurrentLinkedQueue
import java.util.concurrent.CopyOnWriteArrayList
import java.util.concurrent.CountDownLatch
import java.util.concurrent.TimeUnit

/** A request that a [FaultyWorker] has received; [earlier] are the ids of those before it on its connection. */
data class WorkerRequest(
    val head: String,
    val earlier: List<String>,
) {
    /** The id of the request. */
    val id: String get() = head.lines().first { it.startsWith("id: ") }.removePrefix("id: ")

    /** Whether it asks for the events after one. */
    val resumes: Boolean get() = "\r\nafter: " in head
}

/** Answers each request as [respond] says: [Script.Send], [Script.Close], [Script.Reset] or [Script.NoResponse]. */
class FaultyWorker(
    private val respond: (WorkerRequest) -> Script,
) : AutoCloseable {
    private val server = ServerSocket(0, BACKLOG, InetAddress.getLoopbackAddress())
    private val open = CopyOnWriteArrayList<Socket>()
    private val ending = ConcurrentLinkedQueue<CountDownLatch>()

    /** Where it listens. */
    val port: Int get() = server.localPort

    init {
        daemon {
            while (true) {
                val socket = runCatching { server.accept() }.getOrNull() ?: break
                open.add(socket)
                daemon { run(socket) }
            }
        }
    }

    private fun run(socket: Socket) {
        val closed = CountDownLatch(1)
        socket.use { runCatching { serve(it, closed) } }
        open.remove(socket)
        closed.countDown()
    }

    /** Waits until the connections are closed that scripts have ended, so that none of them is used again. */
    fun awaitClosed() {
        while (true) (ending.poll() ?: return).await(CLOSE_TIMEOUT_S, TimeUnit.SECONDS)
    }

    private fun serve(
        socket: Socket,
        closed: CountDownLatch,
    ) {
        socket.tcpNoDelay = true
        val input = socket.getInputStream().buffered()
        val earlier = ArrayList<String>()
        while (true) {
            val text = StringBuilder()
            while (!text.endsWith("\r\n\r\n")) {
                val next = input.read()
                if (next < 0) return
                text.append(next.toChar())
            }
            val request = WorkerRequest(text.toString(), earlier.toList())
            val script = respond(request)
            if (script is Script.Close || script is Script.Reset) ending.add(closed)
            if (!act(socket, script)) return
            earlier.add(request.id)
        }
    }

    /** Returns whether the connection is kept. */
    private fun act(
        socket: Socket,
        script: Script,
    ): Boolean {
        val text =
            when (script) {
                is Script.Send -> script.text
                is Script.Close -> script.text
                is Script.Reset -> script.text
                else -> ""
            }
        socket.getOutputStream().write(text.toByteArray())
        if (script is Script.Reset) {
            script.received.await(RECEIVE_TIMEOUT_S, TimeUnit.SECONDS)
            socket.setSoLinger(true, 0)
        }
        return script is Script.Send || script is Script.NoResponse
    }

    override fun close() {
        server.close()
        open.forEach { it.close() }
    }

    private fun daemon(task: () -> Unit) = Thread(task).apply { isDaemon = true }.start()

    private companion object {
        const val BACKLOG = 100
        const val RECEIVE_TIMEOUT_S = 5L
        const val CLOSE_TIMEOUT_S = 5L
    }
}
