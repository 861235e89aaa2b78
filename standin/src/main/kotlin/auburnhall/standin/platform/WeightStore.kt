/*
 * The weight store: reads of any length under one rate limit that all readers share.
 */
package auburnhall.standin.platform

import java.io.InputStream
import java.util.concurrent.TimeUnit

/** Gives out bytes at [bytesPerSecond] over all streams together. */
class WeightStore(
    private val bytesPerSecond: Long,
) {
    private val lock = Any()
    private var nextFreeNanos = System.nanoTime()

    /** A stream of [bytes] zeros; reading blocks while the rate is used up. */
    fun open(bytes: Long): InputStream = Weights(bytes)

    /** Takes the time that [bytes] need and returns how long the reader must wait for it. */
    private fun reserve(bytes: Int): Long =
        synchronized(lock) {
            val now = System.nanoTime()
            val start = maxOf(now, nextFreeNanos)
            nextFreeNanos = start + bytes * NANOS_PER_SECOND / bytesPerSecond
            nextFreeNanos - now
        }

    private inner class Weights(
        private var left: Long,
    ) : InputStream() {
        override fun read(): Int {
            val one = ByteArray(1)
            return if (read(one, 0, 1) < 0) -1 else one[0].toInt()
        }

        override fun read(
            b: ByteArray,
            off: Int,
            len: Int,
        ): Int {
            if (left == 0L) return -1
            val n = minOf(left, len.toLong(), MAX_READ_BYTES).toInt()
            left -= n
            TimeUnit.NANOSECONDS.sleep(reserve(n))
            b.fill(0, off, off + n)
            return n
        }
    }

    private companion object {
        const val NANOS_PER_SECOND = 1_000_000_000L
        const val MAX_READ_BYTES = 64 * 1024L
    }
}
