/*
 * Finds out whether the members of replicas are there: those of replicas that fell silent, those that missed a probe,
 * and those whose entries are missing from the list.
 */
package auburnhall.replica

import auburnhall.core.Fleet
import auburnhall.core.Replica
import auburnhall.core.ReplicaTracker
import auburnhall.core.Worker
import auburnhall.core.log

/** Probes members and judges their answers. Control thread only. */
class MemberMonitor(
    private val context: ControllerContext,
) {
    private val failureDetector = WorkerFailureDetector(context.clock)
    private val suspects = LinkedHashSet<ReplicaEpoch>()
    private val unheard = LinkedHashMap<ReplicaEpoch, MutableSet<WorkerIncarnation>>()

    /** A process has heard nothing from the replica [key] for too long. */
    fun onSuspect(key: ReplicaEpoch) {
        suspects.add(key)
    }

    /** Whether [worker] is taken for lost. */
    fun isLost(worker: Worker): Boolean = failureDetector.isLost(worker)

    /** Whether [worker] holds up its replica. */
    fun isSlow(worker: Worker): Boolean = failureDetector.isSlow(worker)

    /** Whether [worker] can be a member of a replica. */
    fun isUsable(worker: Worker): Boolean =
        !worker.draining && !failureDetector.isLost(worker) && !failureDetector.isSlow(worker)

    /** The probes to send now. */
    fun probes(
        fleet: Fleet,
        tracker: ReplicaTracker,
    ): List<Order> {
        val unlisted = tracker.open.flatMap { tracker.missing(it, fleet) }
        failureDetector.retain(fleet, unlisted)
        val silent = takeSuspects(tracker.open)
        val doubtful = (fleet.ofService(context.service) + unlisted).filter { failureDetector.isDoubtful(it) }
        val due = failureDetector.toRecheck(fleet) + unlisted.filter { failureDetector.unlistedDue(it) }
        val wanted = silent.flatMap { it.members } + doubtful + due
        return wanted.distinctBy { it.incarnation }.filter { failureDetector.beginProbe(it) }.map { Order.Probe(it) }
    }

    /** [worker] answered a probe. */
    fun onReport(
        worker: Worker,
        report: OrderResult.Report,
    ) {
        failureDetector.onAnswer(worker)
        failureDetector.onSlowdownFactor(worker, report.slowdownFactor)
        unheard.values.forEach { it.remove(worker.incarnation) }
        val sound = unheard.filterValues { it.isEmpty() }.keys.toList()
        sound.forEach {
            unheard.remove(it)
            context.replicaListener.onHealthy(it)
        }
    }

    /** [worker] answered an order. */
    fun onAnswer(worker: Worker) = failureDetector.onAnswer(worker)

    /** [worker] did not answer. While the control thread itself is held up this says nothing of the worker. */
    fun onNoAnswer(
        worker: Worker,
        cause: String,
    ) {
        val counts = !context.controlStall.isRecent
        if (failureDetector.onMissed(worker, counts)) {
            context.events.log("worker.lost", "worker" to worker.id, "cause" to cause)
        }
    }

    /** The replica [key] is taken apart; whether its members answer no longer matters. */
    fun forget(key: ReplicaEpoch) {
        unheard.remove(key)
    }

    private fun takeSuspects(open: List<Replica>): List<Replica> {
        val silent = open.filter { ReplicaEpoch(it.name, it.epoch) in suspects }
        suspects.clear()
        silent.forEach { of ->
            unheard[ReplicaEpoch(of.name, of.epoch)] = of.members.mapTo(HashSet()) { it.incarnation }
        }
        return silent
    }
}
