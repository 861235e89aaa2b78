/*
 * Limits of one customer over twenty entry processes: lent shares beside an equal split and beside limits that each
 * process keeps on its own. The replicas have room for everything, so nothing but the limits is in the way.
 */
package auburnhall.bench.limits

import auburnhall.bench.load.Arrival
import auburnhall.bench.load.Cluster
import auburnhall.bench.load.ClusterSpec
import auburnhall.bench.load.EngineSpec
import auburnhall.bench.load.EntryProcess
import auburnhall.bench.load.Prompt
import auburnhall.bench.load.RetryRule
import auburnhall.bench.load.Spread
import auburnhall.bench.load.Surroundings
import auburnhall.bench.load.Tally
import auburnhall.bench.load.Team
import auburnhall.bench.load.VirtualControlLoop
import auburnhall.bench.load.VirtualTime
import auburnhall.bench.load.member
import auburnhall.bench.load.table
import auburnhall.core.CustomerId
import auburnhall.core.Plan
import auburnhall.core.ProcessId
import auburnhall.core.Step
import auburnhall.core.StepError
import auburnhall.limits.AdmissionSettings
import auburnhall.limits.BorrowResult
import auburnhall.limits.LimitsController
import auburnhall.limits.LimitsPorts
import auburnhall.limits.ShareLender
import auburnhall.limits.ShareOwner
import auburnhall.membership.Membership
import auburnhall.membership.MembershipView
import auburnhall.routing.Router
import kotlin.math.ln
import kotlin.random.Random

/** Who keeps the count. */
private enum class Keeper { LENT_SHARES, EQUAL_SPLIT, LOCAL_ONLY }

/** What the customer does, and what fails. [part] is its demand as a part of its plan, over [processes] processes. */
private data class Scenario(
    val name: String,
    val part: Double,
    val processes: Int,
    val cut: Int = 0,
    val ownerDies: Boolean = false,
)

/** Measures the limits of one customer. */
object LimitsBench {
    private val scenarios =
        listOf(
            Scenario("asks 90% of its plan everywhere", WITHIN, EVERYWHERE),
            Scenario("asks 90% of its plan at 2 processes", WITHIN, FEW),
            Scenario("asks twice its plan everywhere", BEYOND, EVERYWHERE),
            Scenario("asks twice its plan at 2 processes", BEYOND, FEW),
            Scenario("asks twice its plan, 5 processes cut off for 30 s", BEYOND, EVERYWHERE, cut = CUT),
            Scenario("asks twice its plan, owner dies", BEYOND, EVERYWHERE, ownerDies = true),
        )

    /** Runs all scenarios and writes their tables to [out]. */
    fun run(out: Appendable) {
        scenarios.forEach { s ->
            out.appendLine("Customer ${s.name}")
            out.appendLine()
            out.table(HEAD, Keeper.entries.map { row(it, s) })
        }
    }

    private fun row(
        keeper: Keeper,
        scenario: Scenario,
    ): List<String> {
        val runs = SEEDS.map { LimitsRun(keeper, scenario, it).run() }

        fun of(figure: (LimitsFigures) -> Double) = Spread(runs.map(figure)).text()
        return listOf(
            keeper.name.lowercase().replace('_', ' '),
            of { PERCENT * it.admitted / it.wanted },
            of { PERCENT * it.mostInWindow },
            of { PERCENT * it.mostInFault },
            of { it.callsPerSecond },
        )
    }

    private val HEAD =
        listOf("kept by", "admitted of min(asked, plan) %", "most in 10 s, % of plan", "during the fault %", "calls/s")
    private val SEEDS = (1L..RUNS).toList()
    private const val WITHIN = 0.9
    private const val BEYOND = 2.0
    private const val EVERYWHERE = 20
    private const val FEW = 2
    private const val CUT = 5
    private const val RUNS = 3L
    private const val PERCENT = 100.0
}

/** What one run gave. Windows are parts of what the plan allows in ten seconds. */
private class LimitsFigures(
    val admitted: Double,
    val wanted: Double,
    val mostInWindow: Double,
    val mostInFault: Double,
    val callsPerSecond: Double,
)

private class LimitsRun(
    private val keeper: Keeper,
    private val scenario: Scenario,
    seed: Long,
) {
    private val time = VirtualTime()
    private val spec = ClusterSpec(replicas = FEW_REPLICAS, engine = EngineSpec(ROOM, SPEED, SPEED, 1))
    private val cluster = Cluster(spec, time, seed)
    private val random = Random(seed)
    private val members = List(spec.processes) { member(it) }
    private val plan = Plan("plan", RATE, RATE * TOKENS * 2, CONCURRENT, 1, 0, FIRST_TOKEN_MILLIS, ANSWER_MILLIS)
    private val team = Team(CustomerId("team"), plan, 1.0, listOf(Prompt(listOf(1), 1.0)))
    private val owners = HashMap<ProcessId, ShareOwner>()
    private val admittedAt = ArrayList<Double>()
    private var calls = 0
    private var cut = emptySet<ProcessId>()
    private var noticed = emptySet<ProcessId>()

    fun run(): LimitsFigures {
        val processes = members.map { process(it) }
        schedule(processes)
        befall()
        time.run(LENGTH_MILLIS)
        val wanted = minOf(1.0, scenario.part) * RATE * (LENGTH_MILLIS - SETTLE_MILLIS) / MILLIS_PER_SECOND
        val most = (SETTLE_MILLIS.toInt()..LENGTH_MILLIS.toInt() - WINDOW_MILLIS step STEP_MILLIS).maxOf { window(it) }
        val fault = (FAULT_AT.toInt()..FAULT_AT.toInt() + CUT_MILLIS step STEP_MILLIS).maxOf { window(it) }
        return LimitsFigures(admittedAt.count { it > SETTLE_MILLIS }.toDouble(), wanted, most, fault, calls / SECONDS)
    }

    private fun window(from: Int): Double =
        admittedAt.count { it >= from && it < from + WINDOW_MILLIS } / (RATE * WINDOW_MILLIS / MILLIS_PER_SECOND)

    private fun schedule(processes: List<EntryProcess>) {
        var at = 0.0
        while (at < LENGTH_MILLIS) {
            at += -ln(1 - random.nextDouble()) / (RATE * scenario.part) * MILLIS_PER_SECOND
            val process = processes[random.nextInt(scenario.processes)]
            time.after(at) { process.arrive(Arrival(0.0, team, team.prompts[0], TOKENS)) }
        }
    }

    /** Members that are cut off, or dead, are noticed by the others after the time that heartbeats take. */
    private fun befall() {
        val dying =
            MembershipView(
                members[0],
                members,
                members.mapTo(HashSet()) { it.process },
            ).ranked("limit/team").first()
        val lost =
            when {
                scenario.ownerDies -> setOf(dying.process)
                else -> members.takeLast(scenario.cut).mapTo(HashSet()) { it.process }
            }
        time.after(FAULT_AT) { cut = lost }
        time.after(FAULT_AT + NOTICE_MILLIS) { noticed = lost }
        if (scenario.ownerDies) return
        time.after(FAULT_AT + CUT_MILLIS) { cut = emptySet() }
        time.after(FAULT_AT + CUT_MILLIS + NOTICE_MILLIS) { noticed = emptySet() }
    }

    private fun process(self: auburnhall.membership.Member): EntryProcess {
        val tally = Tally()
        val router = Router(self.dataCentre, Random(random.nextInt()))
        val process =
            EntryProcess(Surroundings(time, cluster, tally, 1), router, AdmissionSettings(), RetryRule { null }) {
                admittedAt += time.elapsedMillis().toDouble()
            }
        val ports = ports(self)
        val owner = ShareOwner(ports.membership, ports.plan, time)
        owners[self.process] = owner
        val controller = LimitsController(process, owner, ports)
        process.onShort = { ports.control.execute { controller.hurry() } }
        controller.start()
        return process
    }

    private fun ports(self: auburnhall.membership.Member) =
        LimitsPorts(
            self.dataCentre,
            { cluster.view },
            { plan },
            membership(self),
            lender(self),
            VirtualControlLoop(time, CALL_MILLIS),
            time,
            Random(0),
        )

    private fun membership(self: auburnhall.membership.Member): Membership =
        object : Membership {
            override fun view(): MembershipView =
                when (keeper) {
                    Keeper.LOCAL_ONLY -> MembershipView(self, listOf(self), setOf(self.process))
                    Keeper.EQUAL_SPLIT -> MembershipView(self, members, setOf(self.process))
                    Keeper.LENT_SHARES -> MembershipView(self, members, sameSide(self.process, noticed))
                }
        }

    private fun lender(self: auburnhall.membership.Member) =
        ShareLender { owner, borrower, demands ->
            calls += 1
            if (owner.process in sameSide(self.process, cut)) {
                BorrowResult.Granted(owners.getValue(owner.process).lend(borrower, demands))
            } else {
                BorrowResult.Error(StepError(Step.ADMIT, owner.process.value, "cut off"))
            }
        }

    private fun sameSide(
        self: ProcessId,
        lost: Set<ProcessId>,
    ): Set<ProcessId> = members.map { it.process }.filterTo(HashSet()) { (it in lost) == (self in lost) }

    private companion object {
        const val FEW_REPLICAS = 3
        const val ROOM = 10_000
        const val SPEED = 1_000.0
        const val FIRST_TOKEN_MILLIS = 1_000L
        const val ANSWER_MILLIS = 30_000L
        const val RATE = 40.0
        const val TOKENS = 20
        const val CONCURRENT = 400
        const val LENGTH_MILLIS = 120_000L
        const val SECONDS = 120.0
        const val SETTLE_MILLIS = 10_000.0
        const val FAULT_AT = 40_000.0
        const val CUT_MILLIS = 30_000
        const val NOTICE_MILLIS = 3_000.0
        const val WINDOW_MILLIS = 10_000
        const val STEP_MILLIS = 500
        const val CALL_MILLIS = 2.0
        const val MILLIS_PER_SECOND = 1_000.0
    }
}
