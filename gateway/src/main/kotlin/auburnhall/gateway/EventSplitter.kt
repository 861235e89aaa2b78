/*
 * Splits a stream of server-sent events into complete events, so that a broken stream can be resumed at another worker
 * after the last event that was relayed completely. Every byte of every stream passes here, in processes that run few
 * of them, so the bytes are searched in place and not passed on one by one.
 */
package auburnhall.gateway

/** One server-sent event: its bytes with the blank line that ends it, and its numeric id if it has one. */
class StreamEvent(
    val bytes: ByteArray,
    val id: Long?,
) {
    /** Whether it only keeps the connection alive and is no part of the stream. */
    val isComment: Boolean get() = id == null && bytes.firstOrNull() == COMMENT_START

    /** Whether it begins as a response does: the worker has sent another one in place of an event. */
    val isHead: Boolean get() = bytes.size > HEAD_START.size && HEAD_START.indices.all { bytes[it] == HEAD_START[it] }

    private companion object {
        const val COMMENT_START = ':'.code.toByte()
        val HEAD_START = "HTTP/1.".toByteArray()
    }
}

/** Buffers received bytes and returns complete events. */
class EventSplitter {
    private var buffer = ByteArray(INITIAL_BYTES)
    private var consecutiveNewlines = 0

    /** Number of bytes received after the last complete event. */
    var pendingBytes = 0
        private set

    /** Why nothing that follows the returned events belongs to the stream; null while it does. */
    var fault: String? = null
        private set

    /** Whether bytes other than line breaks were received after the last complete event. */
    val hasPartialEvent: Boolean
        get() = (0 until pendingBytes).any { buffer[it] != LINE_FEED && buffer[it] != CARRIAGE_RETURN }

    /** Bytes of memory that are held for bytes to come. */
    internal val capacityBytes: Int get() = buffer.size

    /** Bytes received after the last complete event. */
    val remainder: ByteArray get() = buffer.copyOf(pendingBytes)

    /** Appends [bytes] and returns the events that they complete, up to a head of a response. */
    fun add(bytes: ByteArray): List<StreamEvent> {
        val searched = pendingBytes
        append(bytes)
        val events = ArrayList<StreamEvent>(1)
        var eventStart = 0
        var newlines = consecutiveNewlines
        for (index in searched until pendingBytes) {
            when (buffer[index]) {
                LINE_FEED -> newlines++
                CARRIAGE_RETURN -> Unit
                else -> newlines = 0
            }
            if (newlines == 2) {
                events.add(eventOf(buffer.copyOfRange(eventStart, index + 1)))
                eventStart = index + 1
                newlines = 0
            }
        }
        consecutiveNewlines = newlines
        discard(eventStart)
        val headAt = events.indexOfFirst { it.isHead }
        if (headAt < 0) return events
        fault = "a head in place of an event"
        return events.subList(0, headAt)
    }

    private fun append(bytes: ByteArray) {
        val size = pendingBytes + bytes.size
        if (size > buffer.size) buffer = buffer.copyOf(maxOf(size, 2 * buffer.size))
        bytes.copyInto(buffer, pendingBytes)
        pendingBytes = size
    }

    private fun discard(bytes: Int) {
        buffer.copyInto(buffer, 0, bytes, pendingBytes)
        pendingBytes -= bytes
        if (buffer.size > MAX_IDLE_BYTES && pendingBytes <= MAX_IDLE_BYTES) buffer = buffer.copyOf(MAX_IDLE_BYTES)
    }

    private companion object {
        const val INITIAL_BYTES = 256

        /** Memory that is kept after a long event, which the limits on held bytes do not count. */
        const val MAX_IDLE_BYTES = 16_384
        const val LINE_FEED = '\n'.code.toByte()
        const val CARRIAGE_RETURN = '\r'.code.toByte()
        val ID_FIELD = "id:".toByteArray()

        fun eventOf(bytes: ByteArray) = StreamEvent(bytes, idOf(bytes))

        /** The value of the first line that starts with [ID_FIELD]; null when it is not a number. */
        fun idOf(event: ByteArray): Long? {
            var lineStart = 0
            while (lineStart < event.size && !startsWithId(event, lineStart)) {
                lineStart = endOfLine(event, lineStart) + 1
            }
            if (lineStart >= event.size) return null
            val valueStart = lineStart + ID_FIELD.size
            val value = String(event, valueStart, endOfLine(event, lineStart) - valueStart, Charsets.ISO_8859_1)
            return value.trim().toLongOrNull()
        }

        fun startsWithId(
            event: ByteArray,
            at: Int,
        ): Boolean = at + ID_FIELD.size < event.size && ID_FIELD.indices.all { event[at + it] == ID_FIELD[it] }

        fun endOfLine(
            event: ByteArray,
            from: Int,
        ): Int {
            var index = from
            while (index < event.size && event[index] != LINE_FEED && event[index] != CARRIAGE_RETURN) index++
            return index
        }
    }
}
