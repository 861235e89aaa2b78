/*
 * Which workers may be put into a replica now.
 */
package auburnhall.replica

import auburnhall.core.MemberState
import auburnhall.core.Worker

/** Tells the free workers from those that serve or are spoken for. Control thread only. */
class WorkerAvailability(
    private val context: ControllerContext,
    private val monitor: MemberMonitor,
    private val formations: FormationManager,
    private val teardowns: TeardownManager,
) {
    private val startedAt = context.clock.nowMs()
    private val joiningSince = HashMap<WorkerIncarnation, Long>()
    private val freeSince = HashMap<WorkerIncarnation, Long>()
    private var listed = 0
    private var listedSince = startedAt
    private var settled = false

    /** Whether loads are neither limited nor counted, since no request has been served yet. */
    val early: Boolean get() = context.term.firstStart && context.clock.nowMs() - startedAt < FIRST_LOADS_MS

    /** Whether [workers] are known well enough: at the first start, once no more of them appear. */
    fun isSettled(workers: List<Worker>): Boolean {
        val now = context.clock.nowMs()
        if (workers.size != listed) {
            listed = workers.size
            listedSince = now
        }
        val quiet = now - listedSince >= QUIET_MS || now - startedAt >= LONGEST_SETTLE_MS
        settled = settled || if (context.term.firstStart) quiet else now - startedAt >= SETTLE_MS
        return settled
    }

    /** For how long, in milliseconds, [worker] has been free; at the first start all are free for long. */
    fun freeMs(worker: Worker): Long {
        val since = freeSince[worker.incarnation] ?: context.clock.nowMs()
        return if (early) Long.MAX_VALUE else context.clock.nowMs() - since
    }

    /** The free ones of [workers]. */
    fun free(workers: List<Worker>): List<Worker> {
        val starts = workers.mapTo(HashSet()) { it.incarnation }
        joiningSince.keys.retainAll(starts)
        val taken = formations.all.flatMapTo(HashSet()) { of -> of.members.map { it.incarnation } }
        val open = workers.filter(teardowns::takesRequests).mapTo(HashSet()) { checkNotNull(it.membership).key }
        val free = workers.filter { monitor.isUsable(it) && it.incarnation !in taken && !isHeld(it, open) }
        freeSince.keys.retainAll(free.mapTo(HashSet()) { it.incarnation })
        free.forEach { freeSince.getOrPut(it.incarnation) { context.clock.nowMs() } }
        return free
    }

    /** Whether [worker] belongs to one of the [open] replicas, or to one that an earlier controller may be forming. */
    private fun isHeld(
        worker: Worker,
        open: Set<ReplicaEpoch>,
    ): Boolean {
        val membership = worker.membership
        if (membership?.state != MemberState.JOINING) joiningSince.remove(worker.incarnation)
        return when {
            membership == null || membership.state == MemberState.BROKEN -> false
            membership.key in open -> true
            membership.state != MemberState.JOINING -> false
            else ->
                context.clock.nowMs() - joiningSince.getOrPut(worker.incarnation) { context.clock.nowMs() } <
                    ORPHAN_MS
        }
    }

    private companion object {
        /** Time for orders of an earlier controller to show in the list. */
        const val SETTLE_MS = 1_100L

        /** Time without a new worker after which all that are there are listed. */
        const val QUIET_MS = 1_800L

        /** Longest wait for workers to be listed. */
        const val LONGEST_SETTLE_MS = 5_000L

        /** Traffic never starts sooner than this after the first start. */
        const val FIRST_LOADS_MS = 8_000L

        /** A member that is joining under an earlier controller is left alone for this long, in milliseconds. */
        const val ORPHAN_MS = 3_000L
    }
}
