/*
 * Decides whether this process reaches any worker. A worker that fails, or falls silent for a moment, says nothing
 * about the others; but when several were tried one after the other, and nothing was heard from any worker meanwhile,
 * the links of this process are the likely cause. Designed for processes with few requests a second, which have little
 * to go by, and for a large part of all processes losing their links at the same time.
 */
package auburnhall.routing

import auburnhall.core.Address
import auburnhall.core.Clock
import auburnhall.core.EventListener
import auburnhall.core.ScheduledTask
import auburnhall.core.Scheduler
import auburnhall.core.log

/** Tracks what is heard from workers, of all services together. Traffic thread only. */
class WorkerReachability(
    private val clock: Clock,
    private val scheduler: Scheduler,
    private val events: EventListener,
) {
    /** The workers that were tried since something was heard from any. */
    private val tried = HashSet<Address>()
    private val unconnected = HashSet<Address>()
    private var silence: ScheduledTask? = null
    private var isolatedAtMs: Long? = null

    /** Called when nothing was heard for a while; should try a connection to any worker. */
    var onSilence: () -> Unit = { }

    /** Called when [isolated] has changed. */
    var onChange: () -> Unit = { }

    /** Whether no worker is reached. May be read on any thread. */
    @Volatile
    var isolated = false
        private set

    /** A connection to [worker] is being made, or a request is being sent to it. */
    fun onTried(worker: Address) {
        if (isolated) return
        tried.add(worker)
        if (tried.size < MIN_WORKERS || silence != null) return
        silence = scheduler.after(SILENCE_MS, ::verify)
    }

    /** Slow workers are silent, too, but accept connections. */
    private fun verify() {
        silence = scheduler.after(VERIFICATION_MS) { isolate("silent") }
        onSilence()
    }

    /** No connection to [worker] could be made. */
    fun onConnectFailed(worker: Address) {
        if (isolated) return
        unconnected.add(worker)
        if (unconnected.size >= MIN_WORKERS) isolate("unconnected")
    }

    /** A connection to a worker was made, or bytes of one were received. */
    fun onHeard() {
        if (tried.isNotEmpty() || unconnected.isNotEmpty()) reset()
        val since = isolatedAtMs ?: return
        isolatedAtMs = null
        isolated = false
        events.log("workers.reachable", "after_ms" to clock.nowMs() - since)
        onChange()
    }

    private fun isolate(evidence: String) {
        events.log(
            "workers.unreachable",
            "evidence" to evidence,
            "tried" to tried.size,
            "unconnected" to unconnected.size,
        )
        reset()
        isolatedAtMs = clock.nowMs()
        isolated = true
        onChange()
    }

    private fun reset() {
        tried.clear()
        unconnected.clear()
        silence?.cancel()
        silence = null
    }

    private companion object {
        /** Fewer may have failed by themselves, as the few workers of a plain service do together. */
        const val MIN_WORKERS = 3

        /** Several times what a worker takes for its first byte; one that pauses for a second is not alone in this. */
        const val SILENCE_MS = 500L

        /** Many round trips within a region. */
        const val VERIFICATION_MS = 300L
    }
}
