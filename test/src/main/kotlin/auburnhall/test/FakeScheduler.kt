/*
 * Simulated time, which advances only when a test advances it.
 */
package auburnhall.test

import auburnhall.core.Clock
import auburnhall.core.ScheduledTask
import auburnhall.core.Scheduler
import java.util.PriorityQueue

/** A clock and a scheduler on the test's own thread. */
class FakeScheduler :
    Scheduler,
    Clock {
    private val tasks = PriorityQueue<Task>(compareBy({ it.at }, { it.order }))
    private var now = 0L
    private var order = 0L

    override fun nowMs(): Long = now

    override fun after(
        delayMs: Long,
        task: () -> Unit,
    ): ScheduledTask {
        val added = Task(now + delayMs, order++, task)
        tasks.add(added)
        return ScheduledTask { tasks.remove(added) }
    }

    override fun run(task: () -> Unit) {
        after(0, task)
    }

    /** Advances the time by [ms] milliseconds and runs the tasks that become due. */
    fun advance(ms: Long) {
        val until = now + ms
        while (true) {
            val next = tasks.peek()?.takeIf { it.at <= until } ?: break
            tasks.remove()
            now = maxOf(now, next.at)
            next.task()
        }
        now = until
    }

    private class Task(
        val at: Long,
        val order: Long,
        val task: () -> Unit,
    )
}
