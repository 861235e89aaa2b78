/*
 * Which workers may be put into a replica now.
 */
package auburnhall.replica

import auburnhall.core.MemberState
import auburnhall.core.Worker

/** Finds the workers that neither serve in a replica nor are about to. Control thread only. */
class WorkerAvailability(
    private val context: ControllerContext,
    private val monitor: MemberMonitor,
    private val formations: FormationManager,
    private val teardowns: TeardownManager,
) {
    private val startedAtMs = context.clock.nowMs()
    private val joiningSinceMs = HashMap<WorkerIncarnation, Long>()
    private val freeSinceMs = HashMap<WorkerIncarnation, Long>()
    private var listedCount = 0
    private var listedSinceMs = startedAtMs
    private var settled = false

    /** The workers that the last call of [free] returned. */
    var lastFree: List<Worker> = emptyList()
        private set

    /** Whether the rate of weight loads is not limited, since no request has been served yet. */
    val loadsUnlimited: Boolean
        get() = context.term.firstStart && context.clock.nowMs() - startedAtMs < UNLIMITED_LOADS_MS

    /**
     * Returns whether [workers] is complete enough to place replicas: at the first start once no more workers appear,
     * after a takeover once the orders of the previous controller show in the list.
     */
    fun isSettled(workers: List<Worker>): Boolean {
        val now = context.clock.nowMs()
        if (workers.size != listedCount) {
            listedCount = workers.size
            listedSinceMs = now
        }
        val quiet = now - listedSinceMs >= LIST_QUIET_MS || now - startedAtMs >= MAX_SETTLE_MS
        settled = settled || if (context.term.firstStart) quiet else now - startedAtMs >= TAKEOVER_SETTLE_MS
        return settled
    }

    /** For how long, in milliseconds, [worker] has been free; [Long.MAX_VALUE] while loads are not limited. */
    fun freeMs(worker: Worker): Long {
        val since = freeSinceMs[worker.incarnation] ?: context.clock.nowMs()
        return if (loadsUnlimited) Long.MAX_VALUE else context.clock.nowMs() - since
    }

    /** Returns the free ones of [workers]. */
    fun free(workers: List<Worker>): List<Worker> {
        val listed = workers.mapTo(HashSet()) { it.incarnation }
        joiningSinceMs.keys.retainAll(listed)
        val forming = formations.all.flatMapTo(HashSet()) { replica -> replica.members.map { it.incarnation } }
        val open = workers.filter(teardowns::isServingHead).mapTo(HashSet()) { checkNotNull(it.membership).key }
        val free = workers.filter { monitor.isUsable(it) && it.incarnation !in forming && !isMember(it, open) }
        freeSinceMs.keys.retainAll(free.mapTo(HashSet()) { it.incarnation })
        lastFree = free
        free.forEach { freeSinceMs.getOrPut(it.incarnation) { context.clock.nowMs() } }
        return free
    }

    /** Whether [worker] belongs to one of the [open] replicas, or to one that a previous controller may be forming. */
    private fun isMember(
        worker: Worker,
        open: Set<ReplicaEpoch>,
    ): Boolean {
        val membership = worker.membership
        if (membership?.state != MemberState.JOINING) joiningSinceMs.remove(worker.incarnation)
        return when {
            membership == null || membership.state == MemberState.BROKEN -> false
            membership.key in open -> true
            membership.state != MemberState.JOINING -> false
            else ->
                context.clock.nowMs() - joiningSinceMs.getOrPut(worker.incarnation) { context.clock.nowMs() } <
                    ORPHAN_JOIN_MS
        }
    }

    private companion object {
        /** Time until orders of the previous controller show in the list of workers. */
        const val TAKEOVER_SETTLE_MS = 1_100L

        /** At the first start, all workers are assumed to be listed when no new one has appeared for this time. */
        const val LIST_QUIET_MS = 1_800L

        /** Longest wait for workers to be listed at the first start. */
        const val MAX_SETTLE_MS = 5_000L

        /** Time after the first start for which loads are not limited; traffic never starts sooner. */
        const val UNLIMITED_LOADS_MS = 8_000L

        /** A worker that was joining under a previous controller is free after this time. */
        const val ORPHAN_JOIN_MS = 3_000L
    }
}
