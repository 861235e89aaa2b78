package auburnhall.http

import java.io.ByteArrayOutputStream
import java.io.IOException
import java.net.InetSocketAddress
import java.net.Socket

/** A caller with so small a receive buffer that most of a large response waits at the server until it is read. */
internal class SlowSocket(
    port: Int,
) : AutoCloseable {
    private val socket =
        Socket().apply {
            receiveBufferSize = RECEIVE_BUFFER_BYTES
            soTimeout = TIMEOUT_MS
            connect(InetSocketAddress("127.0.0.1", port))
        }

    fun send(text: String) = socket.getOutputStream().write(text.toByteArray())

    /** Sends requests without a body for [paths]. */
    fun request(vararg paths: String) = send(paths.joinToString("") { "GET $it HTTP/1.1\r\nHost: a\r\n\r\n" })

    /** Reads until the connection ends. */
    fun readToEnd(): Received {
        val bytes = ByteArrayOutputStream()
        val block = ByteArray(RECEIVE_BUFFER_BYTES)
        val reset =
            try {
                while (true) {
                    val count = socket.getInputStream().read(block)
                    if (count < 0) break
                    bytes.write(block, 0, count)
                }
                null
            } catch (e: IOException) {
                e.message
            }
        return Received(bytes.toString(Charsets.ISO_8859_1), reset)
    }

    override fun close() = socket.close()

    /** What was received until the connection ended, orderly if [error] is null. */
    class Received(
        val text: String,
        val error: String?,
    ) {
        /** Bytes of the bodies of orders that were received. */
        val orderBytes: Int get() = text.count { it == ORDER_BYTE }

        override fun toString() = "${text.length} bytes, ${text.takeLast(TAIL)}, $error"
    }

    companion object {
        const val ORDER_BYTE = '~'
        private const val RECEIVE_BUFFER_BYTES = 16_384
        private const val TIMEOUT_MS = 10_000
        private const val TAIL = 80
    }
}
