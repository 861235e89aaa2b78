/*
 * The turns at which a process may send requests to a worker that takes a limited number from all processes.
 */
package auburnhall.routing

import kotlin.math.ceil

/**
 * When a process may send requests to one worker: a turn comes each time that [count], which grows with the rate of the
 * process, reaches 1 more.
 */
internal class Turns(
    private var count: Double,
    private var atMs: Long,
    /** Time, in milliseconds, for which a turn may be used; turns that add up make a burst that the worker feels. */
    private val validMs: Long = VALID_MS,
) {
    private var perMs = 0.0

    /** Adds the turns up to [now], at [rate] turns per millisecond, and drops those that are too old. */
    fun advance(
        now: Long,
        rate: Double,
    ) {
        count += rate * (now - atMs)
        atMs = now
        perMs = rate
        val excess = count - 1 - rate * validMs
        if (excess > 0) count -= ceil(excess)
    }

    /** Time, in milliseconds, from the last [advance] until the next turn; 0 if there is one. */
    fun waitMs(): Long = if (count >= 1) 0 else ceil((1 - count) / perMs).toLong().coerceIn(1, MAX_WAIT_MS)

    /** Takes a turn. */
    fun take() {
        count -= 1
    }

    /** Gives back a turn that was taken, since its request did not reach the worker. */
    fun giveBack() {
        count += 1
    }

    private companion object {
        /** A turn at a worker that names a limit may be used for a second. */
        const val VALID_MS = 1_000L

        /** Stands for any longer wait. */
        const val MAX_WAIT_MS = 60_000L
    }
}
