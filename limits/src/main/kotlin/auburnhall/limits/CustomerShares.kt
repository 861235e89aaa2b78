/*
 * What one process knows of one customer: its requests here, and what it may use of its plan's limits.
 */
package auburnhall.limits

import auburnhall.core.CustomerId
import auburnhall.core.Plan
import auburnhall.core.Reason

/** Loans and use of one customer's limits at this process. Not thread-safe. */
internal class CustomerShares(
    val customer: CustomerId,
    plan: Plan,
) {
    /** The plan of the latest request. */
    var plan = plan

    /** Requests in progress. */
    var inProgress = 0
        private set

    /** Requests waiting. */
    var waiting = 0

    /** Whether a request waits for a share. */
    var isShort = false

    /** What the owner lent. */
    val loans = Loans()

    private val arrivals = ArrivalRate()
    private var meanTokens = 0.0
    private var lastExpected = 1.0
    private var shortSince = Long.MAX_VALUE

    fun onArrival(nowMillis: Long) = arrivals.onArrival(nowMillis)

    /** Tells whether nothing has happened for so long that the account may be forgotten. */
    fun isIdle(nowMillis: Long): Boolean =
        inProgress == 0 && waiting == 0 && arrivals.lastAt + IDLE_MILLIS < nowMillis && loans.tokenDebt <= 0

    /** Returns the bound that keeps one more request from starting; null when it may start. */
    fun obstacle(nowMillis: Long): Reason? {
        loans.refresh(plan, nowMillis)
        return when {
            inProgress >= loans.concurrent(plan, nowMillis) -> Reason.CONCURRENCY
            loans.requests < 1 -> Reason.REQUEST_RATE
            loans.tokens - loans.tokenDebt <= 0 -> Reason.TOKEN_RATE
            else -> null
        }
    }

    /** Takes the share of one request that is expected to generate [tokens]. */
    fun start(tokens: Double) {
        inProgress += 1
        loans.takeRequest()
        loans.charge(tokens)
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
        loans.charge(tokens - expected)
        if (complete) meanTokens = smooth(meanTokens, tokens.toDouble())
    }

    /** Expected tokens of an answer of at most [maxTokens]. */
    fun expectedTokens(maxTokens: Int): Double {
        lastExpected = if (meanTokens == 0.0) maxTokens / 2.0 else minOf(meanTokens, maxTokens.toDouble())
        return lastExpected
    }

    /** The bound in the way of a waiting request, once the owner has had time to lend and did not; null otherwise. */
    fun exceeded(nowMillis: Long): Reason? {
        val obstacle = obstacle(nowMillis)
        isShort = isShort || obstacle != null
        shortSince = if (obstacle == null) Long.MAX_VALUE else minOf(shortSince, nowMillis)
        return obstacle.takeIf { nowMillis - GRACE_MILLIS >= shortSince }
    }

    /** What to ask the owner for, to last for [periodMillis]. */
    fun demand(
        nowMillis: Long,
        periodMillis: Long,
    ): ShareDemand {
        loans.refresh(plan, nowMillis)
        val ahead = arrivals.perSecond(nowMillis) * periodMillis / MILLIS_PER_SECOND + waiting
        val tokensAhead = ahead * lastExpected + loans.tokenDebt
        val busy = inProgress + waiting
        return ShareDemand(
            customer,
            (ahead - loans.requests).coerceAtLeast(0.0),
            (tokensAhead - loans.tokens).coerceAtLeast(0.0),
            busy,
            inProgress,
        )
    }

    private fun smooth(
        old: Double,
        new: Double,
    ) = if (old == 0.0) new else old + SMOOTHING * (new - old)

    private companion object {
        const val MILLIS_PER_SECOND = 1_000.0
        const val GRACE_MILLIS = 200L
        const val IDLE_MILLIS = 30_000L
        const val SMOOTHING = 0.05
    }
}

/** Arrivals a second, smoothed over the last seconds. */
internal class ArrivalRate {
    private var count = 0.0
    private var countedAt = 0L

    /** Monotonic time of the last arrival, in milliseconds. */
    var lastAt = 0L
        private set

    fun onArrival(nowMillis: Long) {
        decay(nowMillis)
        count += 1
        lastAt = nowMillis
    }

    fun perSecond(nowMillis: Long): Double {
        decay(nowMillis)
        return count * MILLIS_PER_SECOND / SPAN_MILLIS
    }

    private fun decay(nowMillis: Long) {
        count *= Math.exp(-(nowMillis - countedAt) / SPAN_MILLIS)
        countedAt = nowMillis
    }

    private companion object {
        const val SPAN_MILLIS = 2_000.0
        const val MILLIS_PER_SECOND = 1_000.0
    }
}
