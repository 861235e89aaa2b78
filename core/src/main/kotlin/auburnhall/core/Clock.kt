/*
 * Source of the current time. Deadlines are points on the monotonic clock, in milliseconds; the time of day is used
 * only in log lines.
 */
package auburnhall.core

/** A source of monotonic time. */
fun interface Clock {
    /** Milliseconds since an arbitrary origin; never decreases. */
    fun nowMs(): Long

    companion object {
        private const val NANOS_PER_MS = 1_000_000L

        /** The monotonic clock of the JVM. */
        val SYSTEM = Clock { System.nanoTime() / NANOS_PER_MS }
    }
}
