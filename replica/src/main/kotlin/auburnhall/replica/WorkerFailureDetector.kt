/*
 * Detects lost and slow workers from their answers to probes. A verdict holds until the worker answers otherwise or
 * restarts.
 */
package auburnhall.replica

import auburnhall.core.Clock
import auburnhall.core.Fleet
import auburnhall.core.Worker

/** Identifies one run of a worker: a restart under the same [id] has a later [startedAtUnixMs]. */
data class WorkerIncarnation(
    val id: String,
    val startedAtUnixMs: Long,
)

/** The run of the worker that this entry describes. */
val Worker.incarnation: WorkerIncarnation get() = WorkerIncarnation(id, startedAtUnixMs)

/** Marks workers as suspect, lost or slow. Control thread only. */
class WorkerFailureDetector(
    private val clock: Clock,
) {
    private val missedProbes = HashMap<WorkerIncarnation, Int>()
    private val lost = Marks()
    private val slow = Marks()
    private val unlistedProbed = Marks()
    private val probesInFlight = HashSet<WorkerIncarnation>()

    /** Whether [worker] is considered lost. */
    fun isLost(worker: Worker): Boolean = worker.incarnation in lost

    /** Whether [worker] is so slow that its replica is faster when formed anew without it. */
    fun isSlow(worker: Worker): Boolean = worker.incarnation in slow

    /** Returns whether [worker] may be probed now; if so, the probe is in flight until [onAnswer] or [onMiss]. */
    fun beginProbe(worker: Worker): Boolean = probesInFlight.add(worker.incarnation)

    /** [worker] answered a probe or an order. */
    fun onAnswer(worker: Worker) {
        probesInFlight.remove(worker.incarnation)
        missedProbes.remove(worker.incarnation)
        lost.clear(worker.incarnation)
    }

    /** [worker] reported that it runs slower than nominal by [factor]; 1 is nominal. */
    fun onSlowdownFactor(
        worker: Worker,
        factor: Double,
    ) {
        if (factor >= SLOWDOWN_LIMIT) slow.mark(worker.incarnation, clock.nowMs()) else slow.clear(worker.incarnation)
    }

    /**
     * [worker] did not answer a probe or an order. It becomes a suspect and is probed again; this adds to its missed
     * probes only if [counts]. Returns whether it has just become lost.
     */
    fun onMiss(
        worker: Worker,
        counts: Boolean,
    ): Boolean {
        probesInFlight.remove(worker.incarnation)
        val count = missedProbes.merge(worker.incarnation, if (counts) 1 else 0, Int::plus) ?: 0
        val newlyLost = count >= MISSED_PROBE_LIMIT && worker.incarnation !in lost
        if (newlyLost) lost.mark(worker.incarnation, clock.nowMs())
        return newlyLost
    }

    /** Whether [worker] missed a probe, is not yet considered lost and is to be probed again. */
    fun isSuspect(worker: Worker): Boolean = worker.incarnation in missedProbes && !isLost(worker)

    /** Returns whether a probe of [worker], which the store does not list, is due; if so, restarts its interval. */
    fun unlistedProbeDue(worker: Worker): Boolean {
        val now = clock.nowMs()
        val due = worker.incarnation !in unlistedProbed || unlistedProbed.due(worker.incarnation, now)
        if (due) unlistedProbed.mark(worker.incarnation, now)
        return due
    }

    /** Returns the lost and slow workers of [fleet] that are due for another probe, and restarts their intervals. */
    fun dueForRecheck(fleet: Fleet): List<Worker> {
        val now = clock.nowMs()
        return fleet.workers.values.filter { lost.due(it.incarnation, now) or slow.due(it.incarnation, now) }
    }

    /** Forgets workers that are neither listed in [fleet] nor [unlisted] members of replicas that take requests. */
    fun retain(
        fleet: Fleet,
        unlisted: List<Worker>,
    ) {
        val retained = (fleet.workers.values + unlisted).mapTo(HashSet()) { it.incarnation }
        missedProbes.keys.retainAll(retained)
        probesInFlight.retainAll(retained)
        listOf(lost, slow, unlistedProbed).forEach { it.retain(retained) }
    }

    /** Marked workers, each with the time at which it was marked or last found due for a recheck. */
    private class Marks {
        private val sinceMs = HashMap<WorkerIncarnation, Long>()

        operator fun contains(incarnation: WorkerIncarnation) = incarnation in sinceMs

        fun mark(
            incarnation: WorkerIncarnation,
            now: Long,
        ) {
            sinceMs[incarnation] = now
        }

        fun clear(incarnation: WorkerIncarnation) {
            sinceMs.remove(incarnation)
        }

        /** Returns whether [incarnation] is marked and due for a recheck; if so, restarts its recheck interval. */
        fun due(
            incarnation: WorkerIncarnation,
            now: Long,
        ): Boolean {
            val due = sinceMs[incarnation]?.let { now - it >= RECHECK_INTERVAL_MS } == true
            if (due) sinceMs[incarnation] = now
            return due
        }

        fun retain(retained: Set<WorkerIncarnation>) {
            sinceMs.keys.retainAll(retained)
        }
    }

    private companion object {
        /** Consecutive missed probes; a single lost packet does not make a worker lost. */
        const val MISSED_PROBE_LIMIT = 2

        /** A replica runs at the speed of its slowest member, and forming a new one takes only about a second. */
        const val SLOWDOWN_LIMIT = 2.0

        /** Time between probes of a worker that is lost, slow or not listed. */
        const val RECHECK_INTERVAL_MS = 1_000L
    }
}
