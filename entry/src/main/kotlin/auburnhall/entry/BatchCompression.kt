/*
 * Compresses long batches of changes for processes of other data centres, since traffic between data centres has a
 * price. A configuration of tens of kilobytes shrinks to a small part; within a data centre the processor time is worth
 * more.
 */
package auburnhall.entry

import kotlinx.serialization.SerializationException
import java.io.ByteArrayOutputStream
import java.io.IOException
import java.util.zip.Deflater
import java.util.zip.DeflaterOutputStream
import java.util.zip.InflaterInputStream

/** The compressed form of encoded batches. */
internal object BatchCompression {
    /** Length, in bytes, from which a batch is compressed; shorter ones fit into one packet. */
    const val MIN_BYTES = 1_200

    /** Limit on what a response can make this process hold; the longest batch before compression is a part of it. */
    private const val MAX_INFLATED_BYTES = 16_777_216

    /** Compresses [bytes]. */
    fun deflate(bytes: ByteArray): ByteArray {
        val out = ByteArrayOutputStream()
        val deflater = Deflater(Deflater.BEST_SPEED)
        try {
            DeflaterOutputStream(out, deflater).use { it.write(bytes) }
        } finally {
            deflater.end()
        }
        return out.toByteArray()
    }

    /** Reverses [deflate]; throws [SerializationException] for other bytes, and for a result that is too long. */
    fun inflate(bytes: ByteArray): ByteArray =
        try {
            val inflated = InflaterInputStream(bytes.inputStream()).use { it.readNBytes(MAX_INFLATED_BYTES + 1) }
            if (inflated.size > MAX_INFLATED_BYTES) throw SerializationException("more than $MAX_INFLATED_BYTES bytes")
            inflated
        } catch (e: IOException) {
            throw SerializationException("cannot be inflated: ${e.message}", e)
        }
}
