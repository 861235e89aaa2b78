/*
 * One run: arrivals spread over the entry processes by the balancer, replicas, faults, and the counts.
 */
package auburnhall.bench.load

import auburnhall.core.Clock
import auburnhall.core.CustomerId
import auburnhall.core.InstanceId
import auburnhall.core.ProcessId
import auburnhall.limits.AdmissionSettings
import auburnhall.limits.BorrowResult
import auburnhall.limits.LimitsController
import auburnhall.limits.LimitsPorts
import auburnhall.limits.ShareOwner
import auburnhall.membership.Member
import auburnhall.membership.Membership
import auburnhall.membership.MembershipView
import auburnhall.routing.ReplicaScorer
import auburnhall.routing.Router
import auburnhall.routing.RoutingSettings
import kotlin.random.Random

/** What one run is made of, apart from the policies that are compared. */
data class Conditions(
    val workload: Workload,
    val level: Double,
    val faults: FaultPlan,
    val seed: Long,
    val cluster: ClusterSpec = ClusterSpec(),
    val millis: Long = RUN_MILLIS,
) {
    private companion object {
        const val RUN_MILLIS = 150_000L
    }
}

/** The policies of one run. */
class Policies(
    val name: String,
    val routing: RoutingSettings = RoutingSettings(),
    val admission: AdmissionSettings = AdmissionSettings(),
    val scorer: (Cluster) -> ReplicaScorer = { ReplicaScorer(routing) },
    val retries: (Clock) -> Pair<RetryRule, () -> Unit>,
)

/** Runs [conditions] under [policies] and returns the counts. */
fun experiment(
    conditions: Conditions,
    policies: Policies,
): Tally {
    val time = VirtualTime()
    val cluster = Cluster(conditions.cluster, time, conditions.seed)
    val tally = Tally()
    val source = Arrivals(conditions.workload, conditions.seed)
    val perSecond = conditions.level * conditions.cluster.answersPerSecond(conditions.workload.meanTokens)
    val processes =
        processes(conditions, policies, Surroundings(time, cluster, tally, conditions.cluster.processes), source)
    val balancer = Random(conditions.seed)
    source.draw(perSecond, conditions.millis).forEach { a ->
        val process = processes[balancer.nextInt(processes.size)]
        time.after(SETTLE_MILLIS + a.atMillis) { process.arrive(a) }
    }
    cluster.befall(conditions.faults)
    cluster.onView { processes.forEach { it.locked { } } }
    time.every(SAMPLE_MILLIS) { sampleIdle(cluster, processes, tally) }
    time.run(conditions.millis + conditions.workload.answerMillis)
    return tally
}

/** Runs [policies] under several seeds side by side. */
fun experiments(
    conditions: List<Conditions>,
    policies: Policies,
): List<Tally> = conditions.parallelStream().map { experiment(it, policies) }.toList()

private fun processes(
    conditions: Conditions,
    policies: Policies,
    around: Surroundings,
    source: Arrivals,
): List<EntryProcess> {
    val plans = source.teams.associate { it.id to it.plan }
    val members = List(conditions.cluster.processes) { member(it) }
    val owners = HashMap<ProcessId, ShareOwner>()
    return members.mapIndexed { i, self ->
        val random = Random(conditions.seed * SEED_FACTOR + i)
        val router = Router(self.dataCentre, random, policies.routing, policies.scorer(around.cluster))
        val (rule, onSuccess) = policies.retries(around.time)
        val process = EntryProcess(around, router, policies.admission, rule, onSuccess)
        val view = MembershipView(self, members, members.mapTo(HashSet()) { it.process })
        val ports = ports(around, self, FixedMembership(view), plans, owners)
        val owner = ShareOwner(ports.membership, ports.plan, around.time)
        owners[self.process] = owner
        val controller = LimitsController(process, owner, ports)
        process.onShort = { ports.control.execute { controller.hurry() } }
        controller.start()
        process
    }
}

private fun ports(
    around: Surroundings,
    self: Member,
    membership: Membership,
    plans: Map<CustomerId, auburnhall.core.Plan>,
    owners: Map<ProcessId, ShareOwner>,
) = LimitsPorts(
    self.dataCentre,
    { around.cluster.view },
    plans::get,
    membership,
    { owner, borrower, demands -> BorrowResult.Granted(owners.getValue(owner.process).lend(borrower, demands)) },
    VirtualControlLoop(around.time, CALL_MILLIS),
    around.time,
    Random(0),
)

private class FixedMembership(
    private val view: MembershipView,
) : Membership {
    override fun view() = view
}

internal fun member(index: Int): Member =
    Member(ProcessId("p$index"), InstanceId("e$index"), Cluster.dataCentre(index), "10.0.0.$index:1", "10.0.0.$index:2")

private fun sampleIdle(
    cluster: Cluster,
    processes: List<EntryProcess>,
    tally: Tally,
) {
    val places = cluster.engines.filter { it.isAlive }.size * cluster.spec.engine.capacity
    tally.observed += places
    val waiting = processes.sumOf { it.waitingForPlaces }
    if (waiting > 0) tally.idleWhileWaiting += minOf(waiting, cluster.engines.sumOf { it.free })
}

private const val SETTLE_MILLIS = 5_000.0
private const val SAMPLE_MILLIS = 100.0
private const val CALL_MILLIS = 2.0
private const val SEED_FACTOR = 1_000L
