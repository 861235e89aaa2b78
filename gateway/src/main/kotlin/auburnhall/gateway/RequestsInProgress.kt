/*
 * The number of requests being served, which a stopping process waits for.
 */
package auburnhall.gateway

import java.util.concurrent.atomic.AtomicInteger

/** Counts requests from their arrival until the body of their answer has been closed. */
class RequestsInProgress {
    private val running = AtomicInteger()

    /** Requests in progress now. */
    val count: Int get() = running.get()

    internal fun begin() {
        running.incrementAndGet()
    }

    internal fun end() {
        running.decrementAndGet()
    }
}
