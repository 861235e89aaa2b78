/*
 * Which workers are taken for lost: those that do not answer the controller, until they answer again or start anew.
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
    private val lost = HashMap<WorkerStart, Long>()
    private val askedAt = HashMap<WorkerStart, Long>()
    private val probing = HashSet<WorkerStart>()

    /** Whether [worker] is taken for lost. */
    fun isLost(worker: Worker): Boolean = worker.start in lost

    /** Whether [worker] may be probed now; then a probe is on its way until [onAnswer] or [onMissed]. */
    fun beginProbe(worker: Worker): Boolean = probing.add(worker.start)

    /** [worker] answered. */
    fun onAnswer(worker: Worker) {
        probing.remove(worker.start)
        missed.remove(worker.start)
        lost.remove(worker.start)
    }

    /** [worker] did not answer; returns whether it is lost from now on. */
    fun onMissed(worker: Worker): Boolean {
        probing.remove(worker.start)
        val count = missed.merge(worker.start, 1, Int::plus) ?: 1
        if (count < MISSED_LIMIT) return false
        return lost.put(worker.start, clock.nowMs()) == null
    }

    /** Whether a first probe of [worker] was missed and it is to be asked again. */
    fun isDoubtful(worker: Worker): Boolean = worker.start in missed && !isLost(worker)

    /** Whether [worker], which is not listed, is to be asked again whether it is still there. */
    fun unlistedDue(worker: Worker): Boolean {
        val now = clock.nowMs()
        if (now - (askedAt[worker.start] ?: -RECHECK_MS) < RECHECK_MS) return false
        askedAt[worker.start] = now
        return true
    }

    /** Lost workers of [fleet] that are worth another probe. */
    fun toRecheck(fleet: Fleet): List<Worker> {
        val now = clock.nowMs()
        val due = fleet.workers.values.filter { worker -> lost[worker.start]?.let { now - it >= RECHECK_MS } == true }
        due.forEach { lost[it.start] = now }
        return due
    }

    /** Forgets starts that are neither listed nor [unlisted] members of replicas that take requests. */
    fun retain(
        fleet: Fleet,
        unlisted: List<Worker>,
    ) {
        val listed = (fleet.workers.values + unlisted).mapTo(HashSet()) { it.start }
        missed.keys.retainAll(listed)
        lost.keys.retainAll(listed)
        probing.retainAll(listed)
        askedAt.keys.retainAll(listed)
    }

    private companion object {
        /** Unanswered probes in a row, so that a lost packet is not taken for a lost worker. */
        const val MISSED_LIMIT = 2

        /** Time, in milliseconds, between probes of a lost worker that is still listed. */
        const val RECHECK_MS = 1_000L
    }
}
