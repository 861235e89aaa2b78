/*
 * Which workers may be put into a replica now.
 */
package auburnhall.replica

import auburnhall.core.MemberState
import auburnhall.core.Worker

/** Tells the free workers from those that serve or are spoken for. Control thread only. */
class Supply(
    private val scope: ControllerScope,
    private val watch: MemberWatch,
    private val formations: Formations,
    private val breakups: Breakups,
) {
    private val startedAt = scope.clock.nowMs()
    private val joiningSince = HashMap<WorkerStart, Long>()
    private val freeSince = HashMap<WorkerStart, Long>()
    private var listed = 0
    private var listedSince = startedAt
    private var settled = false

    /** Whether loads are neither limited nor counted, since no request has been served yet. */
    val early: Boolean get() = scope.term.firstStart && scope.clock.nowMs() - startedAt < FIRST_LOADS_MS

    /** Whether [workers] are known well enough: at the first start, once no more of them appear. */
    fun isSettled(workers: List<Worker>): Boolean {
        val now = scope.clock.nowMs()
        if (workers.size != listed) {
            listed = workers.size
            listedSince = now
        }
        val quiet = now - listedSince >= QUIET_MS || now - startedAt >= LONGEST_SETTLE_MS
        settled = settled || if (scope.term.firstStart) quiet else now - startedAt >= SETTLE_MS
        return settled
    }

    /** For how long, in milliseconds, [worker] has been free; at the first start all are free for long. */
    fun freeMs(worker: Worker): Long {
        val since = freeSince[worker.start] ?: scope.clock.nowMs()
        return if (early) Long.MAX_VALUE else scope.clock.nowMs() - since
    }

    /** The free ones of [workers]. */
    fun free(workers: List<Worker>): List<Worker> {
        val starts = workers.mapTo(HashSet()) { it.start }
        joiningSince.keys.retainAll(starts)
        val taken = formations.all.flatMapTo(HashSet()) { of -> of.members.map { it.start } }
        val open = workers.filter(breakups::takesRequests).mapTo(HashSet()) { checkNotNull(it.membership).key }
        val free = workers.filter { watch.isUsable(it) && it.start !in taken && !isHeld(it, open) }
        freeSince.keys.retainAll(free.mapTo(HashSet()) { it.start })
        free.forEach { freeSince.getOrPut(it.start) { scope.clock.nowMs() } }
        return free
    }

    /** Whether [worker] belongs to one of the [open] replicas, or to one that an earlier controller may be forming. */
    private fun isHeld(
        worker: Worker,
        open: Set<ReplicaEpoch>,
    ): Boolean {
        val membership = worker.membership
        if (membership?.state != MemberState.JOINING) joiningSince.remove(worker.start)
        return when {
            membership == null || membership.state == MemberState.BROKEN -> false
            membership.key in open -> true
            membership.state != MemberState.JOINING -> false
            else -> scope.clock.nowMs() - joiningSince.getOrPut(worker.start) { scope.clock.nowMs() } < ORPHAN_MS
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
