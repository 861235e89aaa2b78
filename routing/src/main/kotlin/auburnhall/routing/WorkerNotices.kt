/*
 * What workers say of themselves in their responses: that they leave, and for how long they want nothing from this
 * process. It binds from the head of the response on, also while the store is down and whatever the store's entry of
 * the worker says. Held by run of a worker, so that a new worker at an old address starts without. Designed for a fifth
 * of the workers leaving at the same time under load: the others share the requests, and nothing counts as a failure.
 */
package auburnhall.routing

import auburnhall.core.Clock
import auburnhall.core.EventListener
import auburnhall.core.log

/** Keeps what workers have said. Traffic thread only. */
class WorkerNotices(
    private val clock: Clock,
    private val events: EventListener,
) {
    private val byWorker = LinkedHashMap<TargetKey, Notice>()

    /** The worker of [target] says in a response that it is about to stop. */
    fun onLeaving(target: Target) {
        val notice = noticeOf(target)
        if (notice.leaving) return
        notice.leaving = true
        events.log("worker.leaving", "worker" to target.worker.id, "target" to target.key.text)
    }

    /** The worker of [target] wants nothing from this process for [ms] milliseconds. */
    fun onPause(
        target: Target,
        ms: Long,
    ) {
        val pauseMs = ms.coerceIn(0, MAX_PAUSE_MS)
        val notice = noticeOf(target)
        notice.pausedUntilMs = maxOf(notice.pausedUntilMs, clock.nowMs() + pauseMs)
        events.log("worker.paused", "worker" to target.worker.id, "for_ms" to pauseMs, "stated_ms" to ms)
    }

    /** Whether the worker of [target] has said that it leaves, so that nothing new may be sent to it. */
    fun isLeaving(target: Target): Boolean = byWorker[TargetTable.keyOf(target.worker)]?.leaving == true

    /** Time, in milliseconds, until a request may be sent to [target]; 0 if it may be sent now. */
    fun waitMs(target: Target): Long {
        val notice = byWorker[TargetTable.keyOf(target.worker)] ?: return 0
        return (notice.pausedUntilMs - clock.nowMs()).coerceAtLeast(0)
    }

    private fun noticeOf(target: Target): Notice {
        val worker = TargetTable.keyOf(target.worker)
        val notice = byWorker.remove(worker) ?: Notice()
        byWorker[worker] = notice
        if (byWorker.size > MAX_WORKERS) byWorker.remove(byWorker.keys.first())
        return notice
    }

    private class Notice {
        var leaving = false
        var pausedUntilMs = Long.MIN_VALUE
    }

    companion object {
        /** Stands for any longer pause. */
        const val MAX_PAUSE_MS = 60_000L

        /** Workers that are remembered; beyond, the one that has said something longest ago is forgotten. */
        const val MAX_WORKERS = 1_024
    }
}
