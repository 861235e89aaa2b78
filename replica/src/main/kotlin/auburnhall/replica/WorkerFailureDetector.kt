/*
 * Which workers are taken for lost or slow, by their answers to probes, until they answer otherwise or start anew.
 */
package auburnhall.replica

import auburnhall.core.Clock
import auburnhall.core.Fleet
import auburnhall.core.Worker

/** Identifies one start of a worker. */
data class WorkerIncarnation(
    val id: String,
    val startedAtUnixMs: Long,
)

/** The start of a worker that this entry is about. */
val Worker.incarnation: WorkerIncarnation get() = WorkerIncarnation(id, startedAtUnixMs)

/** Judges workers by their answers to probes. Control thread only. */
class WorkerFailureDetector(
    private val clock: Clock,
) {
    private val missed = HashMap<WorkerIncarnation, Int>()
    private val lost = Marks()
    private val slow = Marks()
    private val asked = Marks()
    private val probing = HashSet<WorkerIncarnation>()

    /** Whether [worker] is taken for lost. */
    fun isLost(worker: Worker): Boolean = worker.incarnation in lost

    /** Whether [worker] is so slow that its replica is better off without it. */
    fun isSlow(worker: Worker): Boolean = worker.incarnation in slow

    /** Whether [worker] may be probed now; then a probe is on its way until [onAnswer] or [onMissed]. */
    fun beginProbe(worker: Worker): Boolean = probing.add(worker.incarnation)

    /** [worker] answered. */
    fun onAnswer(worker: Worker) {
        probing.remove(worker.incarnation)
        missed.remove(worker.incarnation)
        lost.clear(worker.incarnation)
    }

    /** [worker] answered that it works [slowdownFactor] times slower than usual. */
    fun onSlowdownFactor(
        worker: Worker,
        slowdownFactor: Double,
    ) {
        if (slowdownFactor >= SLOW_PACE) {
            slow.mark(worker.incarnation, clock.nowMs())
        } else {
            slow.clear(worker.incarnation)
        }
    }

    /** [worker] did not answer, which speaks against it where it [counts]; returns whether it is lost from now on. */
    fun onMissed(
        worker: Worker,
        counts: Boolean,
    ): Boolean {
        probing.remove(worker.incarnation)
        val count = missed.merge(worker.incarnation, if (counts) 1 else 0, Int::plus) ?: 0
        val newlyLost = count >= MISSED_LIMIT && worker.incarnation !in lost
        if (newlyLost) lost.mark(worker.incarnation, clock.nowMs())
        return newlyLost
    }

    /** Whether a first probe of [worker] was missed and it is to be asked again. */
    fun isDoubtful(worker: Worker): Boolean = worker.incarnation in missed && !isLost(worker)

    /** Whether [worker], which is not listed, is to be asked again whether it is still there. */
    fun unlistedDue(worker: Worker): Boolean {
        val now = clock.nowMs()
        val due = worker.incarnation !in asked || asked.due(worker.incarnation, now)
        if (due) asked.mark(worker.incarnation, now)
        return due
    }

    /** Lost and slow workers of [fleet] that are worth another probe. */
    fun toRecheck(fleet: Fleet): List<Worker> {
        val now = clock.nowMs()
        return fleet.workers.values.filter { lost.due(it.incarnation, now) or slow.due(it.incarnation, now) }
    }

    /** Forgets starts that are neither listed nor [unlisted] members of replicas that take requests. */
    fun retain(
        fleet: Fleet,
        unlisted: List<Worker>,
    ) {
        val listed = (fleet.workers.values + unlisted).mapTo(HashSet()) { it.incarnation }
        missed.keys.retainAll(listed)
        probing.retainAll(listed)
        listOf(lost, slow, asked).forEach { it.retain(listed) }
    }

    /** Starts of workers with the time at which each was marked or last found due. */
    private class Marks {
        private val since = HashMap<WorkerIncarnation, Long>()

        operator fun contains(start: WorkerIncarnation) = start in since

        fun mark(
            start: WorkerIncarnation,
            now: Long,
        ) {
            since[start] = now
        }

        fun clear(start: WorkerIncarnation) {
            since.remove(start)
        }

        /** Whether [start] was marked long enough ago; if so, it is marked anew. */
        fun due(
            start: WorkerIncarnation,
            now: Long,
        ): Boolean {
            val due = since[start]?.let { now - it >= RECHECK_MS } == true
            if (due) since[start] = now
            return due
        }

        fun retain(listed: Set<WorkerIncarnation>) {
            since.keys.retainAll(listed)
        }
    }

    private companion object {
        /** Unanswered probes in a row, so that a lost packet is not taken for a lost worker. */
        const val MISSED_LIMIT = 2

        /** A replica runs at the pace of its slowest member; a new one is formed within about a second. */
        const val SLOW_PACE = 2.0

        /** Time, in milliseconds, between probes of a worker that was found lost or slow, or is not listed. */
        const val RECHECK_MS = 1_000L
    }
}
