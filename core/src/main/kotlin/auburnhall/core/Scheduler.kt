/*
 * Immediate and delayed execution of tasks on a single thread.
 */
package auburnhall.core

/** Runs tasks on one thread. */
interface Scheduler {
    /** Runs [task] once [delayMs] milliseconds have passed; the returned task can be cancelled until then. */
    fun after(
        delayMs: Long,
        task: () -> Unit,
    ): ScheduledTask

    /** Runs [task] as soon as the thread is free. May be called from any thread. */
    fun run(task: () -> Unit)
}

/** A task that has not run yet. */
fun interface ScheduledTask {
    /** Keeps the task from running. */
    fun cancel()
}
