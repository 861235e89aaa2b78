/*
 * Probes members of replicas whose state is in doubt: members of replicas that a process reported as silent, workers
 * that missed a probe, and members whose entries are missing from the store.
 */
package auburnhall.replica

import auburnhall.core.Fleet
import auburnhall.core.Replica
import auburnhall.core.ReplicaTracker
import auburnhall.core.Worker
import auburnhall.core.log

/** Decides whom to probe and evaluates the answers. Control thread only. */
class MemberMonitor(
    private val context: ControllerContext,
) {
    private val detector = WorkerFailureDetector(context.clock)
    private val suspected = LinkedHashSet<ReplicaEpoch>()
    private val unanswered = LinkedHashMap<ReplicaEpoch, MutableSet<WorkerIncarnation>>()

    /** A process has received nothing from the replica [key] for longer than its limit. */
    fun onSuspect(key: ReplicaEpoch) {
        suspected.add(key)
    }

    /** Whether [worker] is considered lost. */
    fun isLost(worker: Worker): Boolean = detector.isLost(worker)

    /** Whether [worker] is slow enough to be replaced. */
    fun isSlow(worker: Worker): Boolean = detector.isSlow(worker)

    /** Whether [worker] can be a member of a replica. */
    fun isUsable(worker: Worker): Boolean = !worker.draining && !detector.isLost(worker) && !detector.isSlow(worker)

    /** Returns the probes to send now. */
    fun probes(
        fleet: Fleet,
        tracker: ReplicaTracker,
    ): List<Order> {
        val unlisted = tracker.open.flatMap { tracker.missing(it, fleet) }
        detector.retain(fleet, unlisted)
        val suspectedReplicas = takeSuspected(tracker.open)
        val suspects = (fleet.ofService(context.service) + unlisted).filter { detector.isSuspect(it) }
        val rechecks = detector.dueForRecheck(fleet) + unlisted.filter { detector.unlistedProbeDue(it) }
        val toProbe = suspectedReplicas.flatMap { it.members } + suspects + rechecks
        return toProbe.distinctBy { it.incarnation }.filter { detector.beginProbe(it) }.map { Order.Probe(it) }
    }

    /** [worker] answered a probe. */
    fun onReport(
        worker: Worker,
        report: OrderResult.Report,
    ) {
        detector.onAnswer(worker)
        detector.onSlowdownFactor(worker, report.slowdownFactor)
        unanswered.values.forEach { it.remove(worker.incarnation) }
        val healthy = unanswered.filterValues { it.isEmpty() }.keys.toList()
        healthy.forEach {
            unanswered.remove(it)
            context.replicaListener.onHealthy(it)
        }
    }

    /** [worker] answered an order. */
    fun onAnswer(worker: Worker) = detector.onAnswer(worker)

    /**
     * [worker] did not answer a probe or an order. Does not count against the worker after a recent stall of the
     * control thread, since its answer may not have been read.
     */
    fun onNoAnswer(
        worker: Worker,
        cause: String,
    ) {
        val counts = !context.controlStall.isRecent
        if (detector.onMiss(worker, counts)) context.events.log("worker.lost", "worker" to worker.id, "cause" to cause)
    }

    /** The replica [key] is being torn down; whether its members answer no longer matters. */
    fun forget(key: ReplicaEpoch) {
        unanswered.remove(key)
    }

    private fun takeSuspected(open: List<Replica>): List<Replica> {
        val replicas = open.filter { ReplicaEpoch(it.name, it.epoch) in suspected }
        suspected.clear()
        replicas.forEach { replica ->
            unanswered[ReplicaEpoch(replica.name, replica.epoch)] = replica.members.mapTo(HashSet()) { it.incarnation }
        }
        return replicas
    }
}
