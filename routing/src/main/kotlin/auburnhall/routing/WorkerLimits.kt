/*
 * Limits for the requests that workers take from all processes together: those that workers in need name, and the rate
 * of cold workers (ColdWorkers); the stricter holds. Designed for many processes that each send a few requests: each
 * uses a share of each limit, and sends at points in time that lie evenly apart and are not those of the others, so
 * that the processes together keep to the limit, also in a burst, without asking each other for every request. The
 * shares of named limits follow the load of the processes.
 */
package auburnhall.routing

import auburnhall.core.Clock

/** What a worker last stated about its limit. */
data class NamedLimit(
    val worker: TargetKey,
    /** Requests per second from all processes together; null if the worker names no limit any more. */
    val perSecond: Double?,
    /** When the worker stated it, in milliseconds of the monotonic clock. */
    val atMs: Long,
)

/** Share of this process, above 0 and up to 1, in what all processes send to a target. */
fun interface LoadShare {
    fun of(target: Target): Double
}

/** Keeps to the limits that workers name. Traffic thread only, except [count]. */
class WorkerLimits(
    private val clock: Clock,
    private val share: LoadShare,
    /** The workers that are cold; null if none can be. */
    val cold: ColdWorkers? = null,
    /** Fraction from 0 to 1 that differs evenly between the processes, so that they send at different times. */
    private val phase: () -> Double,
) {
    private val byWorker = LinkedHashMap<TargetKey, Entry>()

    /** Called when a worker has named a limit for the first time, or another one, or none any more. */
    var onChange: (NamedLimit) -> Unit = {}

    /** Number of workers with a limit. May be read on any thread. */
    @Volatile
    var count = 0
        private set

    /** All limits, and the workers that have recently ended theirs. */
    val named: List<NamedLimit> get() = byWorker.values.map { it.limit }

    /** The worker of [target] has named the limit [perSecond] in a response, or null if it named none. */
    fun onResponse(
        target: Target,
        perSecond: Double?,
    ) {
        val worker = TargetTable.keyOf(target.worker)
        if (perSecond == null && worker !in byWorker) return
        val limit = NamedLimit(worker, perSecond, clock.nowMs())
        if (update(limit)) onChange(limit)
    }

    /** Another process has reported [limit]; ignored if older than what is known here, or too old. */
    fun onReported(limit: NamedLimit) {
        if (clock.nowMs() - limit.atMs < VALID_MS) update(limit)
    }

    /** Time, in milliseconds, until a request may be sent to [target]; 0 if it may be sent now. */
    fun waitMs(target: Target): Long = maxOf(turnsOf(target)?.waitMs() ?: 0, cold?.waitMs(target) ?: 0)

    /** A request is sent to [target]. */
    fun onSent(target: Target) {
        turnsOf(target)?.take()
        cold?.onSent(target)
    }

    /** Forgets the limits that were not named again for [VALID_MS]; called periodically. */
    fun expire() {
        cold?.expire()
        val now = clock.nowMs()
        byWorker.values.removeIf { now - it.limit.atMs >= VALID_MS }
        count = byWorker.values.count { it.limit.perSecond != null }
    }

    /** Keeps [limit] unless a newer one is known; returns whether the worker said something else before. */
    private fun update(limit: NamedLimit): Boolean {
        val known = byWorker[limit.worker]
        if (known != null && known.limit.atMs >= limit.atMs) return false
        val before = known?.limit?.perSecond
        if (known == null) add(limit) else known.limit = limit
        count = byWorker.values.count { it.limit.perSecond != null }
        return before != limit.perSecond
    }

    private fun add(limit: NamedLimit) {
        if (byWorker.size >= MAX_WORKERS) byWorker.remove(byWorker.minBy { it.value.limit.atMs }.key)
        byWorker[limit.worker] = Entry(limit, Turns(firstTurn(limit.worker), clock.nowMs()))
    }

    /** The turns of this process at [target]; null if there is no limit. */
    private fun turnsOf(target: Target): Turns? {
        val entry = if (count == 0) null else byWorker[TargetTable.keyOf(target.worker)]
        val perSecond = entry?.limit?.perSecond ?: return null
        entry.turns.advance(clock.nowMs(), perSecond * USED_SHARE * share.of(target) / MS_PER_SECOND)
        return entry.turns
    }

    /** The processes begin a worker's turns one after the other, and each worker with another process. */
    private fun firstTurn(worker: TargetKey): Double {
        val offset =
            worker.text
                .hashCode()
                .toUInt()
                .toDouble() / UInt.MAX_VALUE.toDouble()
        return (phase() + offset).mod(1.0)
    }

    private class Entry(
        var limit: NamedLimit,
        val turns: Turns,
    )

    companion object {
        /** Time after which a limit that was not named again is forgotten. */
        const val VALID_MS = 30_000L

        /** Workers whose limits are remembered; beyond, the one that was named longest ago is forgotten. */
        const val MAX_WORKERS = 1_024

        /** Share of a limit that is used; the rest is left for processes that see another load, or have started. */
        private const val USED_SHARE = 0.8
        private const val MS_PER_SECOND = 1_000.0
    }
}
