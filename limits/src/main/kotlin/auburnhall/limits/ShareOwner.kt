/*
 * The lending side of customers' limits. Every process lends for the customers it is ranked first for. What it lends
 * is the plan's bound, less the part that registered processes which do not answer may be using on their own.
 */
package auburnhall.limits

import auburnhall.core.Clock
import auburnhall.core.CustomerId
import auburnhall.core.Deadline
import auburnhall.core.Plan
import auburnhall.core.ProcessId
import auburnhall.membership.Membership
import auburnhall.membership.MembershipView
import kotlin.math.ceil
import kotlin.math.floor

/** Lends shares of customers' limits. Thread-safe; never blocks on anything but its own lock. */
interface ShareOwner {
    /** Lends to [borrower] what can be lent of [demands]; customers that another process owns are left out. */
    fun lend(
        borrower: ProcessId,
        demands: List<ShareDemand>,
    ): List<ShareGrant>
}

/** Returns a [ShareOwner] that lends by [plan], which gives a customer's plan in force, or null without one. */
fun ShareOwner(
    membership: Membership,
    plan: (CustomerId) -> Plan?,
    clock: Clock,
): ShareOwner = RealShareOwner(membership, plan, clock)

/** Returns the process that lends for [customer]. */
internal fun MembershipView.ownerOf(customer: CustomerId) = ranked("limit/$customer").first()

internal class RealShareOwner(
    private val membership: Membership,
    private val plan: (CustomerId) -> Plan?,
    private val clock: Clock,
) : ShareOwner {
    private val accounts = HashMap<CustomerId, LendingAccount>()
    private var active = emptySet<ProcessId>()
    private var activeSince = Deadline.PASSED

    @Synchronized
    override fun lend(
        borrower: ProcessId,
        demands: List<ShareDemand>,
    ): List<ShareGrant> {
        val view = membership.view()
        val now = clock.monotonicMillis()
        noteActive(view, now)
        accounts.values.removeIf { it.idleSince(now) > FORGET_MILLIS }
        val known = view.members.size.coerceAtLeast(1)
        val part = view.active.size.toDouble() / known
        return demands.mapNotNull { d ->
            val p = plan(d.customer)
            if (p == null || view.ownerOf(d.customer).process != view.self.process) {
                null
            } else {
                account(d.customer, p, now).lend(borrower, d, LendingTerms(p, part, view.active.size, now))
            }
        }
    }

    private fun noteActive(
        view: MembershipView,
        now: Long,
    ) {
        val present = view.active.mapTo(HashSet()) { it.process }
        if (present == active) return
        active = present
        activeSince = Deadline(now)
        accounts.keys.removeIf { view.ownerOf(it).process != view.self.process }
    }

    /** An account opened while another process may still have lent begins empty. */
    private fun account(
        customer: CustomerId,
        plan: Plan,
        now: Long,
    ): LendingAccount =
        accounts.getOrPut(customer) {
            LendingAccount(plan, now, Deadline(activeSince.atMillis + VALID_MILLIS))
        }

    internal companion object {
        /** How long a loan holds. */
        const val VALID_MILLIS = 2_000L
        private const val FORGET_MILLIS = 60_000L
    }
}

/** Under which terms a loan is given: the plan, the part of it that may be lent, to how many, and the time. */
internal data class LendingTerms(
    val plan: Plan,
    val part: Double,
    val active: Int,
    val nowMillis: Long,
)

/** What one customer's owner has lent and may lend. Before [settledAt] another process's loans may still hold. */
internal class LendingAccount(
    plan: Plan,
    nowMillis: Long,
    private val settledAt: Deadline,
) {
    private class Loan(
        val concurrent: Int,
        val demand: ShareDemand,
        val until: Deadline,
    )

    private val loans = HashMap<ProcessId, Loan>()
    private var requests = if (settledAt.hasPassed(nowMillis)) burst(plan.requestsPerSecond) else 0.0
    private var tokens = if (settledAt.hasPassed(nowMillis)) burst(plan.tokensPerSecond) else 0.0
    private var filledAt = nowMillis

    fun idleSince(nowMillis: Long): Long = nowMillis - filledAt

    fun lend(
        borrower: ProcessId,
        demand: ShareDemand,
        terms: LendingTerms,
    ): ShareGrant {
        fill(terms)
        loans.values.removeIf { it.until.hasPassed(terms.nowMillis) }
        loans.remove(borrower)
        val others = loans.values.map { it.demand }
        val wanted = floor(fairPart(requests, demand.requests, others.sumOf { it.requests }))
        val whole = if (wanted < 1 && demand.requests > 0 && requests >= 1) 1.0 else wanted
        val lentTokens = fairPart(tokens, demand.tokens, others.sumOf { it.tokens })
        val concurrent = concurrency(demand, terms)
        requests -= whole
        tokens -= lentTokens
        loans[borrower] = Loan(concurrent, demand, Deadline(terms.nowMillis + RealShareOwner.VALID_MILLIS))
        return ShareGrant(demand.customer, whole, lentTokens, concurrent, RealShareOwner.VALID_MILLIS)
    }

    private fun fill(terms: LendingTerms) {
        val seconds = (terms.nowMillis - filledAt) / MILLIS_PER_SECOND
        val requestRate = terms.plan.requestsPerSecond * terms.part
        val tokenRate = terms.plan.tokensPerSecond * terms.part
        requests = (requests + requestRate * seconds).coerceAtMost(burst(terms.plan.requestsPerSecond))
        tokens = (tokens + tokenRate * seconds).coerceAtMost(burst(terms.plan.tokensPerSecond))
        filledAt = terms.nowMillis
    }

    private fun burst(rate: Double) = (rate * BURST_SECONDS).coerceAtLeast(1.0)

    /** What is wanted, or a part of what there is in proportion to the wants of all when that is too little. */
    private fun fairPart(
        available: Double,
        wanted: Double,
        wantedByOthers: Double,
    ): Double {
        if (available <= 0 || wanted <= 0) return 0.0
        val all = wanted + wantedByOthers
        return if (all <= available) wanted else minOf(wanted, available * wanted / all)
    }

    private fun concurrency(
        demand: ShareDemand,
        terms: LendingTerms,
    ): Int {
        val limit = floor(terms.plan.concurrentRequests * terms.part).toInt()
        val takenByOthers = loans.values.sumOf { maxOf(it.concurrent, it.demand.inProgress) }
        val left = (limit - takenByOthers).coerceAtLeast(0)
        if (!settledAt.hasPassed(terms.nowMillis)) return minOf(left, maxOf(demand.inProgress, limit / terms.active))
        val demands = loans.values.map { it.demand.concurrent } + demand.concurrent
        val level = waterLevel(demands, limit)
        val spare = (limit - demands.sum()).coerceAtLeast(0) / maxOf(terms.active, demands.size)
        return minOf(left, minOf(demand.concurrent, level) + spare)
    }

    /** The highest bound per borrower at which all borrowers together stay within [limit], rounded up. */
    private fun waterLevel(
        demands: List<Int>,
        limit: Int,
    ): Int {
        var left = limit.toDouble()
        demands.sorted().forEachIndexed { i, d ->
            val level = left / (demands.size - i)
            if (d > level) return ceil(level).toInt()
            left -= d
        }
        return limit
    }

    private companion object {
        const val BURST_SECONDS = 1.0
        const val MILLIS_PER_SECOND = 1_000.0
    }
}
