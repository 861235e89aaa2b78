/*
 * Splits a stream of server-sent events into complete events, so that a broken stream can be resumed at another worker
 * after the last event that was relayed completely.
 */
package auburnhall.gateway

import java.io.ByteArrayOutputStream

/** One server-sent event: its bytes with the blank line that ends it, and its numeric id if it has one. */
class StreamEvent(
    val bytes: ByteArray,
    val id: Long?,
)

/** Buffers received bytes and returns complete events. */
class EventSplitter {
    private val buffer = ByteArrayOutputStream()
    private var consecutiveNewlines = 0

    /** Number of bytes received after the last complete event. */
    val pendingBytes: Int get() = buffer.size()

    /** Bytes received after the last complete event. */
    val remainder: ByteArray get() = buffer.toByteArray()

    /** Appends [bytes] and returns the events that they complete. */
    fun add(bytes: ByteArray): List<StreamEvent> {
        val events = ArrayList<StreamEvent>()
        for (byte in bytes) {
            buffer.write(byte.toInt())
            consecutiveNewlines = newlinesAfter(byte)
            if (consecutiveNewlines == 2) events.add(takeEvent())
        }
        return events
    }

    private fun newlinesAfter(byte: Byte): Int =
        when (byte) {
            LINE_FEED -> consecutiveNewlines + 1
            CARRIAGE_RETURN -> consecutiveNewlines
            else -> 0
        }

    private fun takeEvent(): StreamEvent {
        val bytes = buffer.toByteArray()
        buffer.reset()
        consecutiveNewlines = 0
        return StreamEvent(bytes, idOf(bytes))
    }

    private companion object {
        const val LINE_FEED = '\n'.code.toByte()
        const val CARRIAGE_RETURN = '\r'.code.toByte()

        fun idOf(event: ByteArray): Long? =
            String(event, Charsets.ISO_8859_1)
                .lineSequence()
                .firstOrNull { it.startsWith("id:") }
                ?.substring("id:".length)
                ?.trim()
                ?.toLongOrNull()
    }
}
