/*
 * The one thread that owns all control state. Controllers are plain objects called on it; whatever may block is handed
 * to [ControlLoop.call], whose result comes back on the control thread.
 */
package auburnhall.core

import java.util.concurrent.Executors
import java.util.concurrent.RejectedExecutionException
import java.util.concurrent.ThreadFactory
import java.util.concurrent.TimeUnit

/** Runs tasks one at a time on the control thread. */
interface ControlLoop : AutoCloseable {
    /** Runs [task] on the control thread, after those handed over before it. */
    fun execute(task: () -> Unit)

    /** Runs [task] on the control thread once [delayMillis] have passed. */
    fun after(
        delayMillis: Long,
        task: () -> Unit,
    )

    /** Runs [io], which may block and must not throw, on another thread; then [onResult] on the control thread. */
    fun <T> call(
        io: () -> T,
        onResult: (T) -> Unit,
    )

    /** Stops taking tasks; those that wait are dropped. */
    override fun close()
}

/** Runs [task] every [periodMillis], beginning after one period; the next run is set when the last has ended. */
fun ControlLoop.every(
    periodMillis: Long,
    task: () -> Unit,
) {
    after(periodMillis) {
        task()
        every(periodMillis, task)
    }
}

/** Returns a running [ControlLoop]. [onFailure] is told of every exception that a task lets escape. */
fun ControlLoop(onFailure: (Throwable) -> Unit): ControlLoop = RealControlLoop(onFailure)

internal class RealControlLoop(
    private val onFailure: (Throwable) -> Unit,
) : ControlLoop {
    private val control = Executors.newSingleThreadScheduledExecutor(daemon("control"))
    private val io = Executors.newCachedThreadPool(daemon("control-io"))

    override fun execute(task: () -> Unit) = submit { control.execute(guarded(task)) }

    override fun after(
        delayMillis: Long,
        task: () -> Unit,
    ) = submit { control.schedule(guarded(task), delayMillis, TimeUnit.MILLISECONDS) }

    override fun <T> call(
        io: () -> T,
        onResult: (T) -> Unit,
    ) = submit {
        this.io.execute(
            guarded {
                val result = io()
                execute { onResult(result) }
            },
        )
    }

    override fun close() {
        control.shutdownNow()
        io.shutdownNow()
    }

    /** A task handed over after [close] is dropped, as the tasks that waited were. */
    private fun submit(handOver: () -> Unit) {
        if (control.isShutdown) return
        try {
            handOver()
        } catch (e: RejectedExecutionException) {
            if (!control.isShutdown) throw e
        }
    }

    @Suppress("TooGenericExceptionCaught")
    private fun guarded(task: () -> Unit) =
        Runnable {
            try {
                task()
            } catch (e: Throwable) {
                onFailure(e)
            }
        }

    private fun daemon(name: String) = ThreadFactory { r -> Thread(r, name).apply { isDaemon = true } }
}
