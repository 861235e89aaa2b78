/*
 * Time as the product reads it. Deadlines are points on the monotonic clock, in milliseconds; the time of day is used
 * in log lines only.
 */
package auburnhall.core

/** A source of monotonic time. */
fun interface Clock {
    /** Milliseconds since an arbitrary point, never going back. */
    fun nowMs(): Long

    companion object {
        private const val NANOS_PER_MS = 1_000_000L

        /** The clock of this process. */
        val SYSTEM = Clock { System.nanoTime() / NANOS_PER_MS }
    }
}
