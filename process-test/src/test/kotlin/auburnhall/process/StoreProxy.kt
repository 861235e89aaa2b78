/*
 * Stands between the entry processes and the stand-in's store, to play a store in trouble.
 */
package auburnhall.process

import java.net.InetAddress
import java.net.ServerSocket
import java.net.Socket
import java.util.concurrent.ConcurrentHashMap
import java.util.concurrent.Executors
import java.util.concurrent.TimeUnit

/** How the store behaves. */
enum class StoreMode { SOUND, AWAY, SILENT, SLOW, REFUSING }

/** Passes connections on to [storePort], as [mode] says. */
class StoreProxy(
    private val storePort: Int,
) : AutoCloseable {
    private val threads = Executors.newCachedThreadPool { task -> Thread(task).apply { isDaemon = true } }
    private val listener = ServerSocket(0, BACKLOG, InetAddress.getLoopbackAddress())
    private val sockets = ConcurrentHashMap.newKeySet<Socket>()

    /** The port for the entry processes. */
    val port: Int = listener.localPort

    @Volatile
    var mode = StoreMode.SOUND
        set(value) {
            field = value
            if (value == StoreMode.AWAY) sockets.forEach { runCatching { it.close() } }
        }

    init {
        threads.execute {
            while (!listener.isClosed) {
                val caller = runCatching { listener.accept() }.getOrNull() ?: break
                if (mode == StoreMode.AWAY) caller.close() else threads.execute { runCatching { connect(caller) } }
            }
        }
    }

    private fun connect(caller: Socket) {
        val store = Socket(InetAddress.getLoopbackAddress(), storePort)
        sockets.add(caller)
        sockets.add(store)
        threads.execute { pump(store, caller) { true } }
        pump(caller, store) { mode != StoreMode.REFUSING || refuse(caller) }
    }

    private fun pump(
        from: Socket,
        to: Socket,
        passes: () -> Boolean,
    ) {
        runCatching {
            val block = ByteArray(BLOCK_BYTES)
            var count = from.getInputStream().read(block)
            while (count >= 0) {
                while (mode == StoreMode.SILENT) TimeUnit.MILLISECONDS.sleep(POLL_MS)
                if (mode == StoreMode.SLOW) TimeUnit.MILLISECONDS.sleep(SLOW_MS)
                if (passes()) to.getOutputStream().write(block, 0, count)
                count = from.getInputStream().read(block)
            }
        }
        listOf(from, to).forEach {
            sockets.remove(it)
            it.close()
        }
    }

    private fun refuse(caller: Socket): Boolean {
        caller.getOutputStream().write("HTTP/1.1 503 Service Unavailable\r\nContent-Length: 2\r\n\r\n{}".toByteArray())
        return false
    }

    override fun close() {
        listener.close()
        sockets.forEach { it.close() }
        threads.shutdownNow()
    }

    private companion object {
        const val BACKLOG = 200
        const val BLOCK_BYTES = 65_536
        const val POLL_MS = 20L
        const val SLOW_MS = 300L
    }
}
