/*
 * A clock that a test moves.
 */
package auburnhall.test

import auburnhall.core.Clock
import java.time.Instant
import java.util.concurrent.atomic.AtomicLong

/** A [Clock] that stands still until [advance] is called. */
class FakeClock(
    startMillis: Long = 1_000_000,
) : Clock {
    private val millis = AtomicLong(startMillis)

    override fun monotonicMillis(): Long = millis.get()

    override fun now(): Instant = Instant.ofEpochMilli(millis.get())

    /** Moves the clock forward by [byMillis]. */
    fun advance(byMillis: Long) {
        millis.addAndGet(byMillis)
    }
}
