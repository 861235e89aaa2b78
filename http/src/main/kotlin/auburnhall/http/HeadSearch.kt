/*
 * Finds the head of another response in a body, which then is not the body that its peer meant. A body may mention a
 * status line, so only one that a certain field follows within the same head counts.
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
    private val statusLine = STATUS_LINE.newSearchProcessor()
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
            if (!inHead) bytesBefore = maxOf(0, end + 1 - STATUS_LINE_START.length - part.readerIndex())
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

    private companion object {
        const val STATUS_LINE_START = "HTTP/1."
        val STATUS_LINE = AbstractSearchProcessorFactory.newKmpSearchProcessorFactory(STATUS_LINE_START.toByteArray())
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
