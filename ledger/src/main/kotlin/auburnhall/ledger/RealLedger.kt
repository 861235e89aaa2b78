/*
 * The traffic side of the ledger: asks the owner of the call's shard, and goes on asking while owners change.
 */
package auburnhall.ledger

import auburnhall.core.Clock
import auburnhall.core.Deadline
import auburnhall.core.Step
import auburnhall.core.StepError
import auburnhall.core.deadlineIn
import auburnhall.membership.Membership
import java.util.concurrent.CountDownLatch
import java.util.concurrent.TimeUnit

/** Lets the calling thread wait. */
internal fun interface Pause {
    fun waitMillis(millis: Long)
}

/**
 * Returns a [Ledger] that asks [shards] for the shards that this process is responsible for and [peers] for the others.
 *
 * The identifier of a request must be new for every attempt of a caller: it is what an owner recognises a request by.
 */
fun Ledger(
    membership: Membership,
    shards: LedgerShards,
    peers: LedgerPeers,
    clock: Clock,
): Ledger =
    RealLedger(OwnerPort(membership, shards, peers), clock) { CountDownLatch(1).await(it, TimeUnit.MILLISECONDS) }

internal class RealLedger(
    private val port: OwnerPort,
    private val clock: Clock,
    private val pause: Pause,
) : Ledger {
    override fun reserve(request: IntentRequest): Reservation {
        val asking = Asking(clock.monotonicMillis(), clock.deadlineIn(LedgerTimes.RESERVE_BUDGET_MILLIS))
        while (true) {
            val owner = port.ownerOf(request)
            val reservation = asking.reservationFrom(port.reserve(owner, request))
            if (reservation != null) return reservation
            if (asking.isOver(clock.monotonicMillis())) {
                if (asking.mayBeKept) port.complete(owner, request, IntentOutcome.NotRun)
                return Reservation.Unavailable(StepError(Step.KEEP_INTENT, owner.process.value, asking.lastReason))
            }
            pause.waitMillis(RETRY_MILLIS)
        }
    }

    override fun complete(
        request: IntentRequest,
        outcome: IntentOutcome,
    ): CompletionResult {
        val giveUpAt = clock.deadlineIn(LedgerTimes.COMPLETE_BUDGET_MILLIS)
        val bounded = outcome.withBoundedAnswer(request.requestId)
        while (true) {
            val owner = port.ownerOf(request)
            val reply = port.complete(owner, request, bounded)
            if (reply.isFinal || giveUpAt.hasPassed(clock.monotonicMillis())) return reply.toResult(owner.process.value)
            pause.waitMillis(RETRY_MILLIS)
        }
    }

    /**
     * One reservation as it is being asked for. The time to dispatch counts from [startedAt], when the request first
     * asked, since that is the grant that an owner may have kept and reported on to others.
     */
    private inner class Asking(
        private val startedAt: Long,
        private val giveUpAt: Deadline,
    ) {
        /** Set when an owner may have kept the intent and its answer was lost. */
        var mayBeKept = false
            private set

        var lastReason = ""
            private set

        private var isRefused = false

        fun isOver(nowMillis: Long) = isRefused || giveUpAt.hasPassed(nowMillis)

        /** Returns null when no owner has decided yet. */
        fun reservationFrom(reply: ReserveReply): Reservation? =
            when (reply) {
                is ReserveReply.Granted -> grantedBefore(Deadline(startedAt + reply.withinMillis))
                is ReserveReply.InProgress -> Reservation.InProgress(reply.firstRequest)
                is ReserveReply.MayHaveRun -> Reservation.MayHaveRun(reply.firstRequest)
                is ReserveReply.Done -> Reservation.Done(reply.firstRequest, reply.answer)
                is ReserveReply.KeyReused -> Reservation.KeyReused(reply.firstRequest)
                is ReserveReply.Unavailable -> undecided(reply.reason, isRefused = true)
                is ReserveReply.NoAnswer -> undecided(reply.reason, mayBeKept = true)
                ReserveReply.NotOwner -> undecided("the shard has no owner yet")
            }

        private fun grantedBefore(deadline: Deadline): Reservation? =
            if (deadline.hasPassed(clock.monotonicMillis())) {
                undecided("the permission came too late", isRefused = true, mayBeKept = true)
            } else {
                Reservation.Granted(deadline)
            }

        private fun undecided(
            reason: String,
            isRefused: Boolean = false,
            mayBeKept: Boolean = false,
        ): Reservation? {
            lastReason = reason
            this.isRefused = isRefused
            this.mayBeKept = this.mayBeKept || mayBeKept
            return null
        }
    }

    private companion object {
        const val RETRY_MILLIS = 200L
    }
}

private val CompleteReply.isFinal: Boolean
    get() =
        when (this) {
            CompleteReply.Recorded, is CompleteReply.Rejected -> true
            is CompleteReply.Unavailable, CompleteReply.NotOwner -> false
        }

private fun CompleteReply.toResult(peer: String): CompletionResult =
    when (this) {
        CompleteReply.Recorded -> CompletionResult.Recorded
        is CompleteReply.Rejected -> notRecorded(peer, reason)
        is CompleteReply.Unavailable -> notRecorded(peer, reason)
        CompleteReply.NotOwner -> notRecorded(peer, "the shard has no owner yet")
    }

private fun notRecorded(
    peer: String,
    reason: String,
) = CompletionResult.NotRecorded(StepError(Step.FINISH, peer, reason))
