/*
 * What one process may use of customers' limits: loans of the owners, and, while an owner cannot be reached, an equal
 * part of the plan.
 */
package auburnhall.limits

import auburnhall.core.CustomerId
import auburnhall.core.Deadline
import auburnhall.core.Plan
import auburnhall.core.Reason

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

/** Loans and use of one customer's limits at this process. Not thread-safe. */
internal class CustomerShares(
    val customer: CustomerId,
    plan: Plan,
) {
    private class Lot(
        var requests: Double,
        var tokens: Double,
        val until: Deadline,
    )

    /** The plan of the latest request. */
    var plan = plan

    /** Requests in progress. */
    var inProgress = 0
        private set

    /** Requests waiting. */
    var waiting = 0

    /** Whether a request waits for a share. */
    var isShort = false

    /** Mean generated tokens of an answer. */
    var meanTokens = 0.0
        private set

    private val lots = ArrayDeque<Lot>()
    private var concurrent = 0
    private var concurrentUntil = Deadline.PASSED
    private var tokenDebt = 0.0
    private var split: EqualSplit? = null
    private var splitFilledAt = 0L
    private var arrivals = 0.0
    private var arrivalsAt = 0L
    private var lastArrivalAt = Long.MIN_VALUE

    /** Whether the owner could not be reached and the equal split is in use. */
    val isSplit: Boolean get() = split != null

    fun onArrival(nowMillis: Long) {
        decayArrivals(nowMillis)
        arrivals += 1
        lastArrivalAt = nowMillis
    }

    /** Arrivals a second over the last seconds. */
    fun arrivalRate(nowMillis: Long): Double {
        decayArrivals(nowMillis)
        return arrivals * MILLIS_PER_SECOND / RATE_MILLIS
    }

    /** Tells whether nothing has happened for so long that the account may be forgotten. */
    fun isIdle(nowMillis: Long): Boolean =
        inProgress == 0 && waiting == 0 && lastArrivalAt + IDLE_MILLIS < nowMillis && tokenDebt <= 0

    /** Returns the bound that keeps one more request from starting; null when it may start. */
    fun obstacle(nowMillis: Long): Reason? {
        refresh(nowMillis)
        return when {
            inProgress >= concurrentNow(nowMillis) -> Reason.CONCURRENCY
            lots.sumOf { it.requests } < 1 -> Reason.REQUEST_RATE
            lots.sumOf { it.tokens } - tokenDebt <= 0 -> Reason.TOKEN_RATE
            else -> null
        }
    }

    /** Takes the share of one request that is expected to generate [tokens]. */
    fun start(tokens: Double) {
        inProgress += 1
        takeRequest()
        tokenDebt += tokens
        payDebt()
    }

    /** A request starts that continues an answer: its limits were charged before. */
    fun resume() {
        inProgress += 1
    }

    /** A request ended; [tokens] were generated where [expected] had been taken. */
    fun finish(
        tokens: Int,
        expected: Double,
        complete: Boolean,
    ) {
        inProgress -= 1
        tokenDebt += tokens - expected
        payDebt()
        if (!complete) return
        meanTokens = if (meanTokens == 0.0) tokens.toDouble() else meanTokens + SMOOTHING * (tokens - meanTokens)
    }

    /** Expected tokens of an answer of at most [maxTokens]. */
    fun expectedTokens(maxTokens: Int): Double =
        if (meanTokens ==
            0.0
        ) {
            maxTokens / 2.0
        } else {
            minOf(meanTokens, maxTokens.toDouble())
        }

    /** What to ask the owner for, to last for [periodMillis]. */
    fun demand(
        nowMillis: Long,
        periodMillis: Long,
    ): ShareDemand {
        refresh(nowMillis)
        val ahead = arrivalRate(nowMillis) * periodMillis / MILLIS_PER_SECOND + waiting
        val tokensAhead = ahead * maxOf(meanTokens, 1.0) + tokenDebt
        val wanted = if (waiting > 0) maxOf(ahead, 1.0) else ahead
        return ShareDemand(
            customer,
            (wanted - lots.sumOf { it.requests }).coerceAtLeast(0.0),
            (tokensAhead - lots.sumOf { it.tokens }).coerceAtLeast(0.0),
            inProgress + waiting,
            inProgress,
        )
    }

    /** The owner lent [grant], asked for at [sentAtMillis]. */
    fun lend(
        grant: ShareGrant,
        sentAtMillis: Long,
    ) {
        if (split != null) lots.clear()
        split = null
        val until = Deadline(sentAtMillis + grant.validMillis)
        lots += Lot(grant.requests, grant.tokens, until)
        concurrent = grant.concurrent
        concurrentUntil = until
        payDebt()
    }

    /** The owner cannot be reached: goes on by [equal] once the loans have run out. */
    fun fallBack(
        equal: EqualSplit,
        nowMillis: Long,
    ) {
        if (!concurrentUntil.hasPassed(nowMillis)) return
        if (split == null) splitFilledAt = nowMillis
        split = equal
    }

    private fun concurrentNow(nowMillis: Long): Int {
        val equal = split
        if (equal != null) return equal.part(plan.concurrentRequests)
        return if (concurrentUntil.hasPassed(nowMillis)) 0 else concurrent
    }

    private fun refresh(nowMillis: Long) {
        lots.removeAll { it.until.hasPassed(nowMillis) }
        val equal = split ?: return
        val seconds = (nowMillis - splitFilledAt) / MILLIS_PER_SECOND
        splitFilledAt = nowMillis
        val lot = lots.firstOrNull() ?: Lot(0.0, 0.0, FOREVER).also { lots += it }
        val rate = equal.part(plan.requestsPerSecond)
        val tokenRate = equal.part(plan.tokensPerSecond)
        lot.requests = (lot.requests + rate * seconds).coerceAtMost(rate.coerceAtLeast(1.0))
        lot.tokens = (lot.tokens + tokenRate * seconds).coerceAtMost(tokenRate)
        payDebt()
    }

    private fun takeRequest() {
        var left = 1.0
        for (lot in lots) {
            val taken = minOf(left, lot.requests)
            lot.requests -= taken
            left -= taken
        }
    }

    private fun payDebt() {
        for (lot in lots) {
            val paid = minOf(tokenDebt, lot.tokens)
            lot.tokens -= paid
            tokenDebt -= paid
        }
    }

    private fun decayArrivals(nowMillis: Long) {
        if (nowMillis <= arrivalsAt) return
        arrivals *= Math.exp(-(nowMillis - arrivalsAt) / RATE_MILLIS)
        arrivalsAt = nowMillis
    }

    private companion object {
        const val RATE_MILLIS = 2_000.0
        const val MILLIS_PER_SECOND = 1_000.0
        const val IDLE_MILLIS = 30_000L
        const val SMOOTHING = 0.05
        val FOREVER = Deadline(Long.MAX_VALUE)
    }
}
