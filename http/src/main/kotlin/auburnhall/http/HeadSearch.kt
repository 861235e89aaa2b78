/*
 * Finds the head of another response in a body, which then is not the body that its peer meant. A body may mention a
 * status line, so only one that a certain field follows within the same head counts. A body may also echo a request,
 * whose first line has a version but no status.
 */
package auburnhall.http

import io.netty.buffer.ByteBuf
import io.netty.buffer.search.AbstractSearchProcessorFactory
import io.netty.buffer.search.SearchProcessor
import io.netty.util.ByteProcessor

/** Looks for a head with a line that begins with [field], in the parts of a body in their order. */
internal class HeadSearch(
    private val field: String,
) {
    private val statusLine = StatusLineReader()
    private val head by lazy(LazyThreadSafetyMode.NONE) { HeadReader(field) }
    private var inHead = false
    private var found = false

    /** Number of bytes before the head in the part in which it has been found. */
    var bytesBefore = 0
        private set

    /** Whether such a head has begun in the parts before, and has its field in [rest], which is not consumed. */
    fun endsIn(rest: ByteBuf): Boolean = isIn(rest) && !HeadSearch(field).isIn(rest)

    /** Whether such a head has been found with the bytes of [part], which are not consumed. */
    fun isIn(part: ByteBuf): Boolean {
        var from = part.readerIndex()
        bytesBefore = 0
        while (!found && from < part.writerIndex()) {
            val end = part.forEachByte(from, part.writerIndex() - from, if (inHead) head else statusLine)
            if (end < 0) return false
            if (!inHead) bytesBefore = maxOf(0, end + 1 - StatusLineReader.LENGTH - part.readerIndex())
            switch()
            from = end + 1
        }
        return found
    }

    private fun switch() {
        found = inHead && head.hasField
        inHead = !inHead
        if (inHead) head.reset() else statusLine.reset()
    }
}

/** Reads up to the status of a status line. */
private class StatusLineReader : ByteProcessor {
    private val version = searchFor(VERSION)

    /** Number of characters that were read behind the version; null before it. */
    private var behindVersion: Int? = null

    override fun process(value: Byte): Boolean {
        val read = behindVersion
        when {
            read == null -> if (!version.process(value)) behindVersion = 0
            value.toInt().toChar() in STATUS[read] -> behindVersion = read + 1
            else -> restart(value)
        }
        return behindVersion != STATUS.size
    }

    private fun restart(value: Byte) {
        reset()
        version.process(value)
    }

    fun reset() {
        version.reset()
        behindVersion = null
    }

    companion object {
        private const val VERSION = "HTTP/1."
        private val STATUS = listOf('0'..'1', ' '..' ', '1'..'5', '0'..'9', '0'..'9')

        /** Bytes from the beginning of the status line to the end of its status. */
        val LENGTH = VERSION.length + STATUS.size
    }
}

/** Reads a head up to the line that begins with [field], or else to its end. */
private class HeadReader(
    field: String,
) : ByteProcessor {
    private val fieldLine = searchFor("\r\n$field")
    private val headEnd = searchFor("\r\n\r\n")

    /** Whether the field has been read. */
    var hasField = false
        private set

    override fun process(value: Byte): Boolean {
        hasField = !fieldLine.process(value)
        return !hasField && headEnd.process(value)
    }

    fun reset() {
        fieldLine.reset()
        headEnd.reset()
    }
}

/** A search for [text], which may be in two parts. */
internal fun searchFor(text: String): SearchProcessor =
    AbstractSearchProcessorFactory.newKmpSearchProcessorFactory(text.toByteArray()).newSearchProcessor()
