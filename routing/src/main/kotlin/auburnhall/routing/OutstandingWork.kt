/*
 * The load of replicas as one entry process can best tell it. A report says what all processes together had at a
 * replica some time ago; the process's own requests are known exactly, so its own part of the report is replaced by
 * what it has outstanding now.
 */
package auburnhall.routing

import auburnhall.core.ReplicaId
import auburnhall.core.ReplicaStatus

/**
 * Requests that this process has at each replica. Not thread-safe.
 *
 * @param reportLagMillis how far the figures of a report lie before [ReplicaStatus.reportedAt].
 */
class OutstandingWork(
    private val reportLagMillis: Long,
) {
    private class Finished(
        val startedAt: Long,
        val finishedAt: Long,
    )

    private class Entry {
        val startedAt = ArrayList<Long>()
        val finished = ArrayList<Finished>()
        var reportedAt = Long.MIN_VALUE
        var ownInReport = 0
    }

    private val entries = HashMap<ReplicaId, Entry>()

    /** Number of requests that this process has outstanding over all replicas. */
    var total = 0
        private set

    /** Counts a request sent to [replica] at [nowMillis]. */
    fun start(
        replica: ReplicaId,
        nowMillis: Long,
    ) {
        entries.getOrPut(replica) { Entry() }.startedAt += nowMillis
        total += 1
    }

    /** Counts the end of a request that was sent to [replica] at [startedAtMillis]. */
    fun finish(
        replica: ReplicaId,
        startedAtMillis: Long,
        nowMillis: Long,
    ) {
        val entry = entries[replica] ?: return
        if (!entry.startedAt.remove(startedAtMillis)) return
        entry.finished += Finished(startedAtMillis, nowMillis)
        total -= 1
    }

    /** Number of requests that this process has outstanding at [replica]. */
    fun own(replica: ReplicaId): Int = entries[replica]?.startedAt?.size ?: 0

    /** Estimates the requests that all processes together have at the replica of [status]. */
    fun load(status: ReplicaStatus): Int {
        val reported = status.running + status.queued
        val entry = entries[status.replica.id] ?: return reported
        if (entry.reportedAt != status.reportedAt) countOwnPart(entry, status.reportedAt)
        val others = (reported - entry.ownInReport).coerceAtLeast(0)
        return others + entry.startedAt.size
    }

    /** Forgets replicas that are neither among [live] nor have requests of this process. */
    fun retain(live: Set<ReplicaId>) {
        entries.entries.removeIf { (id, entry) -> id !in live && entry.startedAt.isEmpty() }
    }

    private fun countOwnPart(
        entry: Entry,
        reportedAt: Long,
    ) {
        val at = reportedAt - reportLagMillis
        val running = entry.startedAt.count { it <= at }
        val finishedSince = entry.finished.count { it.startedAt <= at && it.finishedAt > at }
        entry.reportedAt = reportedAt
        entry.ownInReport = running + finishedSince
        entry.finished.removeIf { it.finishedAt <= at }
    }
}
