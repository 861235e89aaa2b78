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
    private val slow = HashMap<WorkerStart, Long>()
    private val probing = HashSet<WorkerStart>()

    /** Whether [worker] is taken for lost. */
    fun isLost(worker: Worker): Boolean = worker.start in lost

    /** Whether [worker] may be probed now; then a probe is on its way until [onAnswer] or [onMissed]. */
    fun beginProbe(worker: Worker): Boolean = probing.add(worker.start)

    /** [worker] answered that it works [pace] times slower than usual. */
    fun onPace(
        worker: Worker,
        pace: Double,
    ) {
        if (pace >= SLOW_PACE) slow[worker.start] = clock.nowMs() else slow.remove(worker.start)
    }

    /** Whether [worker] is so slow that its replica is better off without it. */
    fun isSlow(worker: Worker): Boolean = worker.start in slow

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

    /** Lost and slow workers of [fleet] that are worth another probe. */
    fun toRecheck(fleet: Fleet): List<Worker> {
        val now = clock.nowMs()
        return fleet.workers.values.filter { isDue(lost, it, now) or isDue(slow, it, now) }
    }

    /** Forgets starts that are neither listed nor [unlisted] members of replicas that take requests. */
    fun retain(
        fleet: Fleet,
        unlisted: List<Worker>,
    ) {
        val listed = (fleet.workers.values + unlisted).mapTo(HashSet()) { it.start }
        missed.keys.retainAll(listed)
        lost.keys.retainAll(listed)
        slow.keys.retainAll(listed)
        probing.retainAll(listed)
        askedAt.keys.retainAll(listed)
    }

    private fun isDue(
        since: HashMap<WorkerStart, Long>,
        worker: Worker,
        now: Long,
    ): Boolean {
        val due = since[worker.start]?.let { now - it >= RECHECK_MS } == true
        if (due) since[worker.start] = now
        return due
    }

    private companion object {
        /** Unanswered probes in a row, so that a lost packet is not taken for a lost worker. */
        const val MISSED_LIMIT = 2

        /** A replica runs at the pace of its slowest member; a new one is formed within about a second. */
        const val SLOW_PACE = 2.0

        /** Time, in milliseconds, between probes of a lost worker that is still listed. */
        const val RECHECK_MS = 1_000L
    }
}
