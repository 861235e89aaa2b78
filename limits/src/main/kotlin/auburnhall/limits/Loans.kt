/*
 * Parts of one customer's limits that this process may use: lent by the owner until a deadline, or an equal part of the
 * plan while the owner cannot be reached.
 */
package auburnhall.limits

import auburnhall.core.Deadline
import auburnhall.core.Plan

/** How the plan's bounds are split when the owner cannot be reached: this process is number [index] of [processes]. */
data class EqualSplit(
    val index: Int,
    val processes: Int,
) {
    /** This process's part of [limit]; the parts of all processes add up to it. */
    fun part(limit: Int): Int = limit / processes + if (index < limit % processes) 1 else 0

    /** This process's part of the rate [perSecond]. */
    fun part(perSecond: Double): Double = perSecond / processes
}

/** Unused parts of one customer's limits. Not thread-safe. */
internal class Loans {
    private class Lot(
        var requests: Double,
        var tokens: Double,
        val until: Deadline,
    )

    private val lots = ArrayDeque<Lot>()
    private var lentConcurrent = 0
    private var lentUntil = Deadline.PASSED
    private var split: EqualSplit? = null
    private var splitFilledAt = 0L

    /** Tokens generated beyond what was lent; below 0 when less was generated than expected. */
    var tokenDebt = 0.0
        private set

    /** Requests that may start. */
    val requests: Double get() = lots.sumOf { it.requests }

    /** Tokens that may be generated. */
    val tokens: Double get() = lots.sumOf { it.tokens }

    /** Requests that may be in progress at once. */
    fun concurrent(
        plan: Plan,
        nowMillis: Long,
    ): Int =
        when {
            split != null -> split?.part(plan.concurrentRequests) ?: 0
            lentUntil.hasPassed(nowMillis) -> 0
            else -> lentConcurrent
        }

    /** The owner lent [grant], asked for at [sentAtMillis]. */
    fun lend(
        grant: ShareGrant,
        sentAtMillis: Long,
    ) {
        if (split != null) lots.clear()
        split = null
        lentUntil = Deadline(sentAtMillis + grant.validMillis)
        lentConcurrent = grant.concurrent
        lots += Lot(grant.requests, grant.tokens, lentUntil)
        payDebt()
    }

    /** The owner cannot be reached: goes on by [equal] once the loans have run out. */
    fun fallBack(
        equal: EqualSplit,
        nowMillis: Long,
    ) {
        if (!lentUntil.hasPassed(nowMillis)) return
        if (split == null) splitFilledAt = nowMillis
        split = equal
    }

    /** Drops loans that have run out and adds what the equal split of [plan] brings. */
    fun refresh(
        plan: Plan,
        nowMillis: Long,
    ) {
        lots.removeAll { it.until.hasPassed(nowMillis) }
        split?.let { fill(it, plan, nowMillis) }
    }

    fun takeRequest() {
        var left = 1.0
        for (lot in lots) {
            val taken = minOf(left, lot.requests)
            lot.requests -= taken
            left -= taken
        }
    }

    /** Charges [tokens]; gives them back when below 0. */
    fun charge(tokens: Double) {
        tokenDebt += tokens
        payDebt()
    }

    private fun fill(
        equal: EqualSplit,
        plan: Plan,
        nowMillis: Long,
    ) {
        val seconds = (nowMillis - splitFilledAt) / MILLIS_PER_SECOND
        splitFilledAt = nowMillis
        val lot = lots.firstOrNull() ?: Lot(0.0, 0.0, FOREVER).also { lots += it }
        val rate = equal.part(plan.requestsPerSecond)
        val tokenRate = equal.part(plan.tokensPerSecond)
        lot.requests = (lot.requests + rate * seconds).coerceAtMost(rate.coerceAtLeast(1.0))
        lot.tokens = (lot.tokens + tokenRate * seconds).coerceAtMost(tokenRate)
        payDebt()
    }

    private fun payDebt() {
        for (lot in lots) {
            val paid = minOf(tokenDebt, lot.tokens)
            lot.tokens -= paid
            tokenDebt -= paid
        }
    }

    private companion object {
        const val MILLIS_PER_SECOND = 1_000.0
        val FOREVER = Deadline(Long.MAX_VALUE)
    }
}
