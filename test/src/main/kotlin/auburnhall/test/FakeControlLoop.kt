/*
 * A control loop that a test runs by hand, on the test's own thread and clock.
 */
package auburnhall.test

import auburnhall.core.ControlLoop

/** A [ControlLoop] without threads: nothing runs until [runDue] or [advance] is called. */
class FakeControlLoop(
    private val clock: FakeClock,
) : ControlLoop {
    private data class Task(
        val dueAt: Long,
        val order: Long,
        val run: () -> Unit,
    )

    private val tasks = ArrayList<Task>()
    private var handedOver = 0L

    /** While set, blocking calls are kept back, as if the process were paused in the middle of them. */
    var holdCalls = false
    private val heldCalls = ArrayList<() -> Unit>()

    override fun execute(task: () -> Unit) = add(clock.monotonicMillis(), task)

    override fun after(
        delayMillis: Long,
        task: () -> Unit,
    ) = add(clock.monotonicMillis() + delayMillis, task)

    override fun <T> call(
        io: () -> T,
        onResult: (T) -> Unit,
    ) {
        val run = {
            val result = io()
            execute { onResult(result) }
        }
        if (holdCalls) heldCalls += run else execute(run)
    }

    override fun close() = tasks.clear()

    /** Lets the calls that were kept back go on. */
    fun releaseCalls() {
        holdCalls = false
        heldCalls.forEach { execute(it) }
        heldCalls.clear()
    }

    /** Runs every task that is due, and those that they hand over for now, in order. */
    fun runDue() {
        while (true) {
            val next = tasks.filter { it.dueAt <= clock.monotonicMillis() }.minWithOrNull(ORDER) ?: return
            tasks -= next
            next.run()
        }
    }

    /** Moves the clock by [byMillis] in steps of [stepMillis], running what is due after each. */
    fun advance(
        byMillis: Long,
        stepMillis: Long = DEFAULT_STEP_MILLIS,
    ) {
        var left = byMillis
        runDue()
        while (left > 0) {
            val step = minOf(left, stepMillis)
            clock.advance(step)
            left -= step
            runDue()
        }
    }

    private fun add(
        dueAt: Long,
        run: () -> Unit,
    ) {
        handedOver += 1
        tasks += Task(dueAt, handedOver, run)
    }

    private companion object {
        const val DEFAULT_STEP_MILLIS = 50L
        val ORDER = compareBy<Task>({ it.dueAt }, { it.order })
    }
}
