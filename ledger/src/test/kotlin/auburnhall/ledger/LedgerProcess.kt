/*
 * One entry process of the [LedgerWorld]: its share of the ledger, its connections, and an order's way through it.
 */
package auburnhall.ledger

import auburnhall.core.Deadline
import auburnhall.core.ProcessId
import auburnhall.membership.Member
import kotlin.random.Random

internal class LedgerProcess(
    member: Member,
    private val world: LedgerWorld,
    random: Random,
) {
    val id: ProcessId = member.process
    val loop = PausableLoop(world.clock)
    val commits = ArrayList<Int>()
    var isDead = false

    private val membership = world.membershipOf(member)
    private val store = StepStore(world.store.client(), this, world)
    private val context =
        LedgerContext(
            id,
            store,
            loop,
            world.clock,
            random,
            object : LedgerListener {
                override fun onCommit(
                    shard: Int,
                    records: Int,
                    bytes: Int,
                    millis: Long,
                ) {
                    commits += records
                }
            },
        )
    val owner = LedgerOwner(context, membership)
    private val connections = FakeConnections(this, world)
    private val port = OwnerPort(membership, connections, connections)
    private val ledger = RealLedger(port, world.clock) { world.advance(it) }

    /** A traffic thread of a paused process stands still; that of a dead one ends. */
    fun checkpoint() {
        while (!loop.isRunning && !isDead) world.advance(LedgerWorld.STEP_MILLIS)
        if (isDead) throw ProcessKilled()
    }

    /** Carries an order out the way the gateway does. */
    fun serve(request: IntentRequest): Told {
        checkpoint()
        world.history.asked(request, world.clock.monotonicMillis())
        return when (val reservation = ledger.reserve(request)) {
            is Reservation.Granted -> dispatch(request, reservation.dispatchBefore)
            is Reservation.InProgress -> Told.InProgress(reservation.firstRequest)
            is Reservation.MayHaveRun -> Told.MayHaveRun(reservation.firstRequest)
            is Reservation.Done -> Told.Answered(reservation.firstRequest, reservation.answer)
            is Reservation.KeyReused -> Told.KeyReused
            is Reservation.Unavailable -> Told.NotRun
        }
    }

    private fun dispatch(
        request: IntentRequest,
        before: Deadline,
    ): Told {
        checkpoint()
        val loss = world.script.at(LedgerStep.DISPATCH, this)
        checkpoint()
        val isTooLate = before.hasPassed(world.clock.monotonicMillis())
        return when {
            isTooLate || loss == Loss.REFUSED -> notSent(request)
            loss == Loss.CALL -> unanswered(request)
            else -> send(request, isAnswered = loss == Loss.NONE)
        }
    }

    private fun send(
        request: IntentRequest,
        isAnswered: Boolean,
    ): Told {
        val answer = world.history.run(request, world.clock.monotonicMillis())
        checkpoint()
        if (!isAnswered) return unanswered(request)
        ledger.complete(request, IntentOutcome.Done(answer))
        return Told.Answered(request.requestId, answer)
    }

    private fun notSent(request: IntentRequest): Told {
        ledger.complete(request, IntentOutcome.NotRun)
        return Told.NotRun
    }

    private fun unanswered(request: IntentRequest): Told {
        ledger.complete(request, IntentOutcome.MayHaveRun)
        return Told.MayHaveRun(request.requestId)
    }
}

/** Calls between processes, and within one. */
internal class FakeConnections(
    private val self: LedgerProcess,
    private val world: LedgerWorld,
) : LedgerPeers,
    LedgerShards {
    override fun reserve(
        owner: Member,
        request: IntentRequest,
        from: ProcessId,
    ): ReserveReply =
        exchange<ReserveReply>(LedgerStep.ASK, owner.process, ReserveReply.NoAnswer("lost")) { callee, onReply ->
            callee.owner.reserve(request, from, onReply)
        }

    override fun complete(
        owner: Member,
        request: IntentRequest,
        outcome: IntentOutcome,
    ): CompleteReply =
        exchange<CompleteReply>(
            LedgerStep.REPORT,
            owner.process,
            CompleteReply.Unavailable("lost"),
        ) { callee, onReply ->
            callee.owner.complete(request, outcome, onReply)
        }

    override fun reserve(
        request: IntentRequest,
        from: ProcessId,
    ): ReserveReply =
        send<ReserveReply>(self, Loss.NONE, ReserveReply.NoAnswer("slow")) { callee, onReply ->
            callee.owner.reserve(request, from, onReply)
        }

    override fun complete(
        request: IntentRequest,
        outcome: IntentOutcome,
    ): CompleteReply =
        send<CompleteReply>(self, Loss.NONE, CompleteReply.Unavailable("slow")) { callee, onReply ->
            callee.owner.complete(request, outcome, onReply)
        }

    private fun <T> exchange(
        step: LedgerStep,
        callee: ProcessId,
        lost: T,
        deliver: (LedgerProcess, (T) -> Unit) -> Unit,
    ): T {
        self.checkpoint()
        val loss = world.script.at(step, self)
        self.checkpoint()
        return send(world.process(callee), loss, lost, deliver)
    }

    private fun <T> send(
        callee: LedgerProcess,
        loss: Loss,
        lost: T,
        deliver: (LedgerProcess, (T) -> Unit) -> Unit,
    ): T {
        var reply: T? = null
        val isSent = loss == Loss.NONE || loss == Loss.ANSWER
        if (isSent && !callee.isDead) deliver(callee) { reply = it }
        if (loss == Loss.LATE) world.later(LATE_MILLIS) { if (!callee.isDead) deliver(callee) { } }
        if (loss != Loss.REFUSED) world.advance(CALL_TIMEOUT_MILLIS) { reply != null && loss == Loss.NONE }
        self.checkpoint()
        return reply.takeIf { loss == Loss.NONE } ?: lost
    }

    private companion object {
        const val CALL_TIMEOUT_MILLIS = 2_000L
        const val LATE_MILLIS = 3_000L
    }
}
