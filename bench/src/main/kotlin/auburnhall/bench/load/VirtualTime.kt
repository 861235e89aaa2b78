/*
 * Virtual time: events run in order on one thread, and the clock jumps from one to the next.
 */
package auburnhall.bench.load

import auburnhall.core.Clock
import auburnhall.core.ControlLoop
import java.time.Instant
import java.util.PriorityQueue

/** A [Clock] and the queue of what happens next. */
class VirtualTime : Clock {
    private class Event(
        val atMicros: Long,
        val order: Long,
        val run: () -> Unit,
    )

    private val events = PriorityQueue(compareBy<Event>({ it.atMicros }, { it.order }))
    private var order = 0L

    /** The present, in microseconds. */
    var micros = START_MICROS
        private set

    override fun monotonicMillis(): Long = micros / MICROS_PER_MILLI

    override fun now(): Instant = Instant.ofEpochMilli(monotonicMillis())

    /** Milliseconds since the start. */
    fun elapsedMillis(): Long = (micros - START_MICROS) / MICROS_PER_MILLI

    /** Runs [run] once [millis] have passed. */
    fun after(
        millis: Double,
        run: () -> Unit,
    ) {
        order += 1
        events += Event(micros + (millis * MICROS_PER_MILLI).toLong().coerceAtLeast(0), order, run)
    }

    /** Runs [run] at the monotonic time [millis], or at once when that has passed. */
    fun at(
        millis: Long,
        run: () -> Unit,
    ) = after((millis * MICROS_PER_MILLI - micros).toDouble() / MICROS_PER_MILLI, run)

    /** Runs [run] every [millis], beginning after [firstMillis]. */
    fun every(
        millis: Double,
        firstMillis: Double = millis,
        run: () -> Unit,
    ): Unit =
        after(firstMillis) {
            run()
            every(millis, millis, run)
        }

    /** Runs all events of the next [millis]. */
    fun run(millis: Long) {
        val end = micros + millis * MICROS_PER_MILLI
        while (true) {
            val next = events.peek()?.takeIf { it.atMicros <= end } ?: break
            events.poll()
            micros = next.atMicros
            next.run()
        }
        micros = end
    }

    private companion object {
        const val MICROS_PER_MILLI = 1_000L
        const val START_MICROS = 1_000_000_000L
    }
}

/** A [ControlLoop] on virtual time; a blocking call takes [callMillis]. */
class VirtualControlLoop(
    private val time: VirtualTime,
    private val callMillis: Double,
) : ControlLoop {
    override fun execute(task: () -> Unit) = time.after(0.0, task)

    override fun after(
        delayMillis: Long,
        task: () -> Unit,
    ) = time.after(delayMillis.toDouble(), task)

    override fun <T> call(
        io: () -> T,
        onResult: (T) -> Unit,
    ) = time.after(callMillis / 2) {
        val result = io()
        time.after(callMillis / 2) { onResult(result) }
    }

    override fun close() = Unit
}
