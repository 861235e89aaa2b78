/*
 * Netty event loops with one thread each, which owns the state of the connections that it serves.
 */
package auburnhall.http

import auburnhall.core.ScheduledTask
import auburnhall.core.Scheduler
import io.netty.channel.EventLoop
import io.netty.channel.nio.NioEventLoopGroup
import io.netty.util.concurrent.DefaultThreadFactory
import java.util.concurrent.TimeUnit

/** Starts an event loop on a daemon thread named [name]. */
fun newEventLoop(name: String): EventLoop = NioEventLoopGroup(1, DefaultThreadFactory(name, true)).next()

/** Scheduler that runs tasks on the thread of [loop]. */
class EventLoopScheduler(
    private val loop: EventLoop,
) : Scheduler {
    override fun after(
        delayMs: Long,
        task: () -> Unit,
    ): ScheduledTask {
        val future = loop.schedule(task, delayMs, TimeUnit.MILLISECONDS)
        return ScheduledTask { future.cancel(false) }
    }

    override fun run(task: () -> Unit) = loop.execute(task)
}
