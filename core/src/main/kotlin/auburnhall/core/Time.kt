/*
 * Time. Code under test never reads the machine's clock: it is handed a [Clock]. State holds deadlines on the monotonic
 * scale of that clock; a duration appears only as a parameter or a named constant.
 */
package auburnhall.core

import java.time.Instant

/** The source of time of one process. */
interface Clock {
    /** Milliseconds on a scale that never goes back and is meaningful within this process only. */
    fun monotonicMillis(): Long

    /** Wall-clock time, for records read by people. */
    fun now(): Instant
}

/** Returns the [Clock] of the machine. */
fun Clock(): Clock = SystemClock

private object SystemClock : Clock {
    private const val NANOS_PER_MILLI = 1_000_000L

    override fun monotonicMillis(): Long = System.nanoTime() / NANOS_PER_MILLI

    override fun now(): Instant = Instant.now()
}

/** A point on the monotonic scale of this process's [Clock], in milliseconds. */
@JvmInline
value class Deadline(
    val atMillis: Long,
) : Comparable<Deadline> {
    /** Tells whether the deadline has been reached at [nowMillis]. */
    fun hasPassed(nowMillis: Long): Boolean = nowMillis >= atMillis

    /** Milliseconds left at [nowMillis]; 0 once the deadline has passed. */
    fun remainingMillis(nowMillis: Long): Long = if (hasPassed(nowMillis)) 0 else atMillis - nowMillis

    override fun compareTo(other: Deadline): Int = atMillis.compareTo(other.atMillis)

    companion object {
        /** A deadline that has passed at any time. */
        val PASSED = Deadline(Long.MIN_VALUE)
    }
}

/** Returns the [Deadline] that lies [millis] after the present of this clock. */
fun Clock.deadlineIn(millis: Long): Deadline = Deadline(monotonicMillis() + millis)
