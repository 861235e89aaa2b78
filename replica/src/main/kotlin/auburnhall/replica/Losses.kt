/*
 * Which workers are taken for lost or slow, by their answers to probes, until they answer otherwise or start anew.
 */
package auburnhall.replica

import auburnhall.core.Clock
import auburnhall.core.Fleet
import auburnhall.core.Worker

/** Identifies one start of a worker. */
data class WorkerStart(
    val id: String,
    val bornAt: Long,
)

/** The start of a worker that this entry is about. */
val Worker.start: WorkerStart get() = WorkerStart(id, bornAt)

/** Judges workers by their answers to probes. Control thread only. */
class Losses(
    private val clock: Clock,
) {
    private val missed = HashMap<WorkerStart, Int>()
    private val lost = Marks()
    private val slow = Marks()
    private val asked = Marks()
    private val probing = HashSet<WorkerStart>()

    /** Whether [worker] is taken for lost. */
    fun isLost(worker: Worker): Boolean = worker.start in lost

    /** Whether [worker] is so slow that its replica is better off without it. */
    fun isSlow(worker: Worker): Boolean = worker.start in slow

    /** Whether [worker] may be probed now; then a probe is on its way until [onAnswer] or [onMissed]. */
    fun beginProbe(worker: Worker): Boolean = probing.add(worker.start)

    /** [worker] answered. */
    fun onAnswer(worker: Worker) {
        probing.remove(worker.start)
        missed.remove(worker.start)
        lost.clear(worker.start)
    }

    /** [worker] answered that it works [pace] times slower than usual. */
    fun onPace(
        worker: Worker,
        pace: Double,
    ) {
        if (pace >= SLOW_PACE) slow.mark(worker.start, clock.nowMs()) else slow.clear(worker.start)
    }

    /** [worker] did not answer, which speaks against it where it [counts]; returns whether it is lost from now on. */
    fun onMissed(
        worker: Worker,
        counts: Boolean,
    ): Boolean {
        probing.remove(worker.start)
        val count = missed.merge(worker.start, if (counts) 1 else 0, Int::plus) ?: 0
        val newlyLost = count >= MISSED_LIMIT && worker.start !in lost
        if (newlyLost) lost.mark(worker.start, clock.nowMs())
        return newlyLost
    }

    /** Whether a first probe of [worker] was missed and it is to be asked again. */
    fun isDoubtful(worker: Worker): Boolean = worker.start in missed && !isLost(worker)

    /** Whether [worker], which is not listed, is to be asked again whether it is still there. */
    fun unlistedDue(worker: Worker): Boolean {
        val now = clock.nowMs()
        val due = worker.start !in asked || asked.due(worker.start, now)
        if (due) asked.mark(worker.start, now)
        return due
    }

    /** Lost and slow workers of [fleet] that are worth another probe. */
    fun toRecheck(fleet: Fleet): List<Worker> {
        val now = clock.nowMs()
        return fleet.workers.values.filter { lost.due(it.start, now) or slow.due(it.start, now) }
    }

    /** Forgets starts that are neither listed nor [unlisted] members of replicas that take requests. */
    fun retain(
        fleet: Fleet,
        unlisted: List<Worker>,
    ) {
        val listed = (fleet.workers.values + unlisted).mapTo(HashSet()) { it.start }
        missed.keys.retainAll(listed)
        probing.retainAll(listed)
        listOf(lost, slow, asked).forEach { it.retain(listed) }
    }

    /** Starts of workers with the time at which each was marked or last found due. */
    private class Marks {
        private val since = HashMap<WorkerStart, Long>()

        operator fun contains(start: WorkerStart) = start in since

        fun mark(
            start: WorkerStart,
            now: Long,
        ) {
            since[start] = now
        }

        fun clear(start: WorkerStart) {
            since.remove(start)
        }

        /** Whether [start] was marked long enough ago; if so, it is marked anew. */
        fun due(
            start: WorkerStart,
            now: Long,
        ): Boolean {
            val due = since[start]?.let { now - it >= RECHECK_MS } == true
            if (due) since[start] = now
            return due
        }

        fun retain(listed: Set<WorkerStart>) {
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
