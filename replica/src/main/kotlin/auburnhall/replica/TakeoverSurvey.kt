/*
 * What workers say of themselves after a take-over. The list of workers may be some seconds old for a worker that is
 * cut off from the store, and the previous controller may have put it into a replica since. So a new controller asks
 * each worker before it puts it into a replica for the first time, and goes by the answer until the list shows another
 * membership than it did then. Members of replicas that take requests are not asked: they stay where they are.
 * Designed for a take-over while a fifth of the workers is cut off: one probe for each worker that seems free, sent
 * once the previous controller's orders have ended, within the time for which a new controller waits in any case.
 */
package auburnhall.replica

import auburnhall.core.Clock
import auburnhall.core.Membership
import auburnhall.core.Worker

/** Asks workers that were listed when the term began. Control thread only. */
class TakeoverSurvey(
    private val clock: Clock,
    /** Whether a previous controller may have given orders. */
    private val needed: Boolean,
) {
    private val startedAtMs = clock.nowMs()
    private val askedAtMs = HashMap<WorkerIncarnation, Long>()
    private val answers = HashMap<WorkerIncarnation, Answer>()
    private val known = HashSet<WorkerIncarnation>()
    private var listedAtStart: Set<WorkerIncarnation>? = null

    /**
     * Returns [listed] with the memberships that workers reported, unless the list shows others since. Call it first in
     * each round of decisions.
     */
    fun corrected(listed: List<Worker>): List<Worker> {
        if (!needed) return listed
        val present = listed.mapTo(HashSet()) { it.incarnation }
        if (listedAtStart == null) listedAtStart = present
        listOf(askedAtMs.keys, answers.keys, known).forEach { it.retainAll(present) }
        return listed.map(::corrected)
    }

    /** Returns the probes that are due to those of [candidates] that have not answered yet. */
    fun probes(candidates: List<Worker>): List<Order> {
        val now = clock.nowMs()
        if (now - startedAtMs < PREVIOUS_ORDERS_MS) return emptyList()
        val due = candidates.filter { !isKnown(it) && (askedAtMs[it.incarnation] ?: Long.MIN_VALUE) <= now - RETRY_MS }
        due.forEach { askedAtMs[it.incarnation] = now }
        return due.map { Order.Probe(it) }
    }

    /** [worker], as it was listed when it was asked, reported [membership]. */
    fun onReport(
        worker: Worker,
        membership: Membership?,
    ) {
        if (worker.incarnation !in askedAtMs) return
        val first = known.add(worker.incarnation)
        if (!first && worker.incarnation !in answers) return
        val listedThen = answers[worker.incarnation]?.listedThen ?: worker.membership?.key
        if (membership?.key != listedThen) answers[worker.incarnation] = Answer(membership, listedThen)
    }

    /** [worker] has left [key]. */
    fun onLeft(
        worker: Worker,
        key: ReplicaEpoch,
    ) {
        val answer = answers[worker.incarnation] ?: return
        if (answer.membership?.key == key) answers[worker.incarnation] = answer.copy(membership = null)
    }

    /** Whether [worker] has said of itself where it belongs, or registered only after the take-over. */
    fun isKnown(worker: Worker): Boolean =
        !needed || worker.incarnation in known || listedAtStart?.let { worker.incarnation !in it } == true

    private fun corrected(worker: Worker): Worker {
        val answer = answers[worker.incarnation] ?: return worker
        val current = answer.listedThen == worker.membership?.key
        if (!current) answers.remove(worker.incarnation)
        return if (current) worker.copy(membership = answer.membership) else worker
    }

    /** The worker reported [membership] while the list showed that it belonged to [listedThen]. */
    private data class Answer(
        val membership: Membership?,
        val listedThen: ReplicaEpoch?,
    )

    private companion object {
        /** Orders of the previous controller have been carried out or have timed out after this time. */
        const val PREVIOUS_ORDERS_MS = 600L

        /** Longer than the timeout of a probe. */
        const val RETRY_MS = 200L
    }
}
