/*
 * Receives the parts of a caller's requests. While there is no memory for a part, it and those behind it are kept, and
 * the connection is not read, so that the caller is held back.
 */
package auburnhall.http

import io.netty.handler.codec.http.HttpObject
import io.netty.util.ReferenceCountUtil

/** Adds parts to [aggregator] as far as [memory] allows. Used on the event loop of the connection. */
internal class RequestReceiver(
    private val aggregator: RequestAggregator,
    private val memory: RequestMemory,
    private val listener: Listener,
) : MemoryWaiter {
    private val kept = ArrayDeque<HttpObject>()
    private var closed = false
    private var waits = 0

    /** Whether parts wait for memory. */
    val waiting: Boolean get() = kept.isNotEmpty()

    /** Receives [part], which the caller of this function releases. */
    fun onPart(part: HttpObject) {
        if (closed || (!waiting && add(part))) return
        kept.addLast(ReferenceCountUtil.retain(part))
        if (kept.size == 1) beginWaiting()
    }

    private fun beginWaiting() {
        memory.await(this)
        listener.onWaitingChange()
        val wait = ++waits
        memory.after(MAX_WAIT_MS) { if (wait == waits && waiting) onWaitOver() }
    }

    /** Bytes that a request before this one in line has just released may be enough. */
    private fun onWaitOver() {
        memory.passOnReleased()
        if (waiting) listener.onMemoryTimeout()
    }

    override fun onMemoryReleased(): Boolean {
        while (!closed) {
            val next = kept.firstOrNull() ?: break
            if (!add(next)) return false
            if (!closed) ReferenceCountUtil.release(kept.removeFirst())
        }
        memory.stopWaiting(this)
        if (!closed) listener.onWaitingChange()
        return true
    }

    /** Drops what was received of the current request; later parts are ignored. */
    fun close() {
        closed = true
        memory.stopWaiting(this)
        kept.forEach { ReferenceCountUtil.release(it) }
        kept.clear()
        aggregator.abandon()
    }

    private fun add(part: HttpObject): Boolean {
        val result = aggregator.add(part)
        if (result is AggregationResult.NoMemory) return false
        listener.onResult(result)
        return true
    }

    /** Receives the results, on the event loop of the connection. */
    interface Listener {
        /** A part was added. */
        fun onResult(result: AggregationResult)

        /** [waiting] has changed. */
        fun onWaitingChange()

        /** Parts have waited for memory for too long. */
        fun onMemoryTimeout()
    }

    private companion object {
        /** A caller gives up a request that is not read within about a second. */
        const val MAX_WAIT_MS = 500L
    }
}
