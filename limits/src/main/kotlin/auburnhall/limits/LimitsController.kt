/*
 * Borrows shares of customers' limits from their owners, on the control thread. Demands to one owner go in one call;
 * customers that are short are asked for at once, others less and less often while what they hold suffices.
 */
package auburnhall.limits

import auburnhall.core.CustomerId
import auburnhall.core.Deadline
import auburnhall.core.every
import auburnhall.membership.Member
import auburnhall.membership.MembershipView

/** Gives the control thread access to the queue, which traffic threads use as well. */
interface QueueAccess {
    /** Runs [block] on the queue and decides again what has become decidable. */
    fun <T> locked(block: (AdmissionQueue) -> T): T
}

/** Borrows for the customers that are active at the queue behind [admission]. Used on the control thread only. */
class LimitsController(
    private val admission: QueueAccess,
    /** Lends for the customers that this process owns. */
    val owner: ShareOwner,
    private val ports: LimitsPorts,
) {
    private val schedule = BorrowSchedule()
    private val busy = HashSet<Member>()

    /** Begins to borrow. */
    fun start() {
        ports.control.every(TICK_MILLIS) { tick() }
        ports.control.every(FORGET_MILLIS) { admission.locked { it.forget(ports.clock.monotonicMillis()) } }
    }

    /** A request waits for a share. */
    fun hurry() = tick()

    private fun tick() {
        val view = ports.membership.view()
        val now = ports.clock.monotonicMillis()
        val due = admission.locked { schedule.due(it.accounts.values, now) }
        due.groupBy { view.ownerOf(it.customer) }.forEach { (member, demands) -> ask(view, member, demands) }
    }

    private fun ask(
        view: MembershipView,
        member: Member,
        demands: List<ShareDemand>,
    ) {
        val sentAt = ports.clock.monotonicMillis()
        if (member.process == view.self.process) {
            apply(member, demands, BorrowResult.Granted(owner.lend(member.process, demands)), sentAt)
            return
        }
        if (!busy.add(member)) return
        schedule.onAsked(demands, sentAt)
        ports.control.call({ ports.lender.borrow(member, view.self.process, demands) }) { result ->
            busy -= member
            apply(member, demands, result, sentAt)
        }
    }

    private fun apply(
        member: Member,
        demands: List<ShareDemand>,
        result: BorrowResult,
        sentAt: Long,
    ) {
        val now = ports.clock.monotonicMillis()
        val grants = (result as? BorrowResult.Granted)?.grants.orEmpty().associateBy { it.customer }
        admission.locked { queue ->
            demands.forEach { d ->
                val account = queue.accounts[d.customer] ?: return@forEach
                val grant = grants[d.customer]
                if (grant ==
                    null
                ) {
                    account.loans.fallBack(equalSplit(d.customer), now)
                } else {
                    account.loans.lend(grant, sentAt)
                }
                schedule.onAnswer(d, grant, now)
            }
        }
        if (result is BorrowResult.Error) ports.listener.onOwnerUnreachable(member.process.value, demands.size)
    }

    private fun equalSplit(customer: CustomerId): EqualSplit = equalSplit(ports.membership.view(), customer)

    private companion object {
        const val TICK_MILLIS = 50L
        const val FORGET_MILLIS = 10_000L
    }
}

/** The equal split of [customer]'s plan over all registered processes; who gets the odd places differs by customer. */
internal fun equalSplit(
    view: MembershipView,
    customer: CustomerId,
): EqualSplit {
    val size = view.members.size.coerceAtLeast(1)
    val position = view.members.indexOfFirst { it.process == view.self.process }.coerceAtLeast(0)
    return EqualSplit(Math.floorMod(position + customer.hashCode(), size), size)
}

/** When each customer is asked for next. */
internal class BorrowSchedule {
    private class Entry {
        var periodMillis = MIN_PERIOD_MILLIS
        var next = Deadline.PASSED
        var soonest = Deadline.PASSED
    }

    private val entries = HashMap<CustomerId, Entry>()

    /** Demands of those [accounts] whose time has come at [nowMillis]. */
    fun due(
        accounts: Collection<CustomerShares>,
        nowMillis: Long,
    ): List<ShareDemand> {
        entries.keys.retainAll(accounts.mapTo(HashSet()) { it.customer })
        return accounts.mapNotNull { account ->
            val entry = entries.getOrPut(account.customer) { Entry() }
            val at = if (account.isShort) entry.soonest else entry.next
            if (at.hasPassed(nowMillis)) account.demand(nowMillis, entry.periodMillis * 2) else null
        }
    }

    /** The owner is being asked; nothing more is due until it answers or [HOLD_MILLIS] have passed. */
    fun onAsked(
        demands: List<ShareDemand>,
        nowMillis: Long,
    ) = demands.forEach {
        val entry = entries[it.customer] ?: return@forEach
        entry.next = Deadline(nowMillis + HOLD_MILLIS)
        entry.soonest = entry.next
    }

    fun onAnswer(
        demand: ShareDemand,
        grant: ShareGrant?,
        nowMillis: Long,
    ) {
        val entry = entries[demand.customer] ?: return
        val enough = grant != null && grant.requests >= demand.requests && grant.tokens >= demand.tokens
        val longer = (entry.periodMillis * 2).coerceAtMost(MAX_PERIOD_MILLIS)
        entry.periodMillis = if (enough) longer else MIN_PERIOD_MILLIS
        entry.next = Deadline(nowMillis + entry.periodMillis)
        entry.soonest = Deadline(nowMillis + SHORT_PERIOD_MILLIS)
    }

    private companion object {
        const val SHORT_PERIOD_MILLIS = 50L
        const val MIN_PERIOD_MILLIS = 200L
        const val MAX_PERIOD_MILLIS = 800L
        const val HOLD_MILLIS = 2_000L
    }
}
