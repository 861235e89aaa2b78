/*
 * The body of a message, in blocks as it was received: the bytes are neither copied into one array nor kept by a buffer
 * that has grown beyond them.
 */
package auburnhall.http

import io.netty.buffer.ByteBuf
import io.netty.buffer.Unpooled
import java.nio.charset.Charset

/** An immutable body. */
class HttpBody internal constructor(
    private val blocks: List<ByteArray>,
    /** Number of bytes; the last block may have room beyond them. */
    val size: Int,
) {
    /** A view of the bytes, which are not copied. */
    fun toByteBuf(): ByteBuf {
        val whole = Unpooled.compositeBuffer(maxOf(1, blocks.size))
        blocks.forEach { whole.addComponent(true, Unpooled.wrappedBuffer(it)) }
        return whole.slice(0, size)
    }

    /** The bytes as text in [charset]. */
    fun text(charset: Charset = Charsets.UTF_8): String = toByteBuf().toString(charset)

    companion object {
        val EMPTY = HttpBody(emptyList(), 0)

        /** The body [bytes], which must not be changed afterwards. */
        fun of(bytes: ByteArray): HttpBody = if (bytes.isEmpty()) EMPTY else HttpBody(listOf(bytes), bytes.size)
    }
}

/** Collects a body while it is received. */
internal class HttpBodyBuilder {
    private val blocks = ArrayList<ByteArray>()
    private var usedInLast = 0

    /** Number of bytes received. */
    var size = 0
        private set

    /** Bytes of memory that the blocks take. */
    var allocatedBytes = 0
        private set

    /** Bytes of memory that the blocks take once [added] bytes are appended. */
    fun allocatedWith(added: Int): Int {
        var allocated = allocatedBytes
        while (allocated < size + added) allocated += nextBlockBytes(allocated)
        return allocated
    }

    /** Appends all bytes of [content]. */
    fun append(content: ByteBuf) {
        while (content.isReadable) {
            if (size == allocatedBytes) addBlock()
            val block = blocks.last()
            val count = minOf(content.readableBytes(), block.size - usedInLast)
            content.readBytes(block, usedInLast, count)
            usedInLast += count
            size += count
        }
    }

    /** The body received so far. */
    fun build(): HttpBody = if (size == 0) HttpBody.EMPTY else HttpBody(blocks, size)

    private fun addBlock() {
        val block = ByteArray(nextBlockBytes(allocatedBytes))
        blocks.add(block)
        allocatedBytes += block.size
        usedInLast = 0
    }

    private companion object {
        const val MIN_BLOCK_BYTES = 512
        const val MAX_BLOCK_BYTES = 65_536

        /** Doubles the memory until blocks have their full size. */
        fun nextBlockBytes(allocated: Int): Int = allocated.coerceIn(MIN_BLOCK_BYTES, MAX_BLOCK_BYTES)
    }
}
