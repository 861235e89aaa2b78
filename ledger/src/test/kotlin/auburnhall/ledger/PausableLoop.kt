/*
 * A control loop of a process that a test pauses and kills.
 */
package auburnhall.ledger

import auburnhall.core.ControlLoop
import auburnhall.test.FakeClock
import auburnhall.test.FakeControlLoop

/** Thrown by a fake store when its process was paused before the call left it; the call is made after the pause. */
internal class CallHeld : RuntimeException()

/** Passes tasks to a [FakeControlLoop]. While [isRunning] is not set, tasks and calls are kept back. */
internal class PausableLoop(
    clock: FakeClock,
) : ControlLoop {
    private val inner = FakeControlLoop(clock)
    private val held = ArrayList<() -> Unit>()

    var isRunning = true
        private set

    fun pause() {
        isRunning = false
    }

    fun resume() {
        isRunning = true
        val tasks = held.toList()
        held.clear()
        tasks.forEach { inner.execute(it) }
    }

    fun runDue() = inner.runDue()

    override fun execute(task: () -> Unit) = inner.execute { runOrHold(task) }

    override fun after(
        delayMillis: Long,
        task: () -> Unit,
    ) = inner.after(delayMillis) { runOrHold(task) }

    override fun <T> call(
        io: () -> T,
        onResult: (T) -> Unit,
    ) = execute { makeCall(io, onResult) }

    override fun close() = inner.close()

    private fun <T> makeCall(
        io: () -> T,
        onResult: (T) -> Unit,
    ) {
        try {
            val result = io()
            execute { onResult(result) }
        } catch (_: CallHeld) {
            held += { makeCall(io, onResult) }
        }
    }

    private fun runOrHold(task: () -> Unit) {
        if (isRunning) task() else held += task
    }
}
