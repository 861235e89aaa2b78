/*
 * Cuts a stream of server-sent events into whole events, so that a stream can go on at another worker after the last
 * event that was passed on whole.
 */
package auburnhall.gateway

import java.io.ByteArrayOutputStream

/** One event: its bytes with the blank line that ends it, and its id. */
class StreamEvent(
    val bytes: ByteArray,
    val id: Long?,
)

/** Collects bytes and returns events as they become whole. */
class EventSplitter {
    private val pending = ByteArrayOutputStream()
    private var newlines = 0

    /** Bytes of an event that is not whole yet. */
    val remainder: ByteArray get() = pending.toByteArray()

    /** Adds [bytes] and returns the events that are whole now. */
    fun add(bytes: ByteArray): List<StreamEvent> {
        val events = ArrayList<StreamEvent>()
        for (byte in bytes) {
            pending.write(byte.toInt())
            newlines = newlinesAfter(byte)
            if (newlines == 2) events.add(take())
        }
        return events
    }

    private fun newlinesAfter(byte: Byte): Int =
        when (byte) {
            LINE_FEED -> newlines + 1
            CARRIAGE_RETURN -> newlines
            else -> 0
        }

    private fun take(): StreamEvent {
        val bytes = pending.toByteArray()
        pending.reset()
        newlines = 0
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
