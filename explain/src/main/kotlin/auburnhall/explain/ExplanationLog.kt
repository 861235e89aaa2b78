/*
 * Where explanations are kept and found. A record is held by the process that served the request and by two others,
 * chosen by the request's id so that any process knows whom to ask.
 */
package auburnhall.explain

import auburnhall.core.Clock
import auburnhall.core.ControlLoop
import auburnhall.core.Deadline
import auburnhall.core.Explanation
import auburnhall.core.ProcessId
import auburnhall.core.RequestId
import auburnhall.core.every
import auburnhall.membership.Member
import auburnhall.membership.Membership
import auburnhall.membership.MembershipView

/** Keeps explanations in the memory of several entry processes for an hour. */
interface ExplanationLog {
    /** Keeps [explanation]; never blocks. */
    fun record(explanation: Explanation)

    /** Finds what any reachable entry process holds of [requestId]; blocks for the peers' answers. */
    fun find(requestId: RequestId): List<Explanation>
}

/** Whether a peer holds the records it was given. */
sealed interface KeepResult {
    /** The peer holds all of them. */
    data object Success : KeepResult

    /** The peer may not hold them. */
    data class Error(
        val message: String,
    ) : KeepResult
}

/** How records reach other entry processes. Calls block up to their timeout and do not throw. */
interface ExplanationPeers {
    /** Gives [records] to [member], whose [ExplanationStore.keep] holds them. */
    fun keep(
        member: Member,
        records: List<Explanation>,
    ): KeepResult

    /** What the [ExplanationStore] of [member] holds of [requestId]; empty when it does not answer. */
    fun find(
        member: Member,
        requestId: RequestId,
    ): List<Explanation>
}

/** An [ExplanationLog] whose records are copied to other entry processes. */
interface PeerExplanationLog : ExplanationLog {
    /** What this process holds, its own and other processes' records; it serves what peers ask. */
    val store: ExplanationStore

    /** Begins to copy records to peers. Called once, on any thread. */
    fun start()

    /**
     * Gives every record held here to the peers that hold it once this process is gone; blocks, at most until [by].
     * Returns the number of records that fewer than two peers are known to hold.
     */
    fun handOver(by: Deadline): Int
}

/** Returns a [PeerExplanationLog] for process [self]. */
fun PeerExplanationLog(
    self: ProcessId,
    membership: Membership,
    peers: ExplanationPeers,
    loop: ControlLoop,
    clock: Clock,
): PeerExplanationLog = RealExplanationLog(self, membership, peers, loop, clock)

/** Number of other processes that hold a copy of each record. */
internal const val COPIES = 2

/**
 * The members other than [without] that hold copies of [requestId]: the first by rank, and the next in another data
 * centre, or the next one when there is no other data centre.
 */
internal fun MembershipView.holders(
    requestId: RequestId,
    without: ProcessId,
): List<Member> {
    val ranked = ranked(requestId.value).filter { it.process != without }
    val first = ranked.firstOrNull() ?: return emptyList()
    val second = ranked.firstOrNull { it.dataCentre != first.dataCentre } ?: ranked.getOrNull(1)
    return listOfNotNull(first, second)
}

internal class RealExplanationLog(
    private val self: ProcessId,
    private val membership: Membership,
    private val peers: ExplanationPeers,
    private val loop: ControlLoop,
    private val clock: Clock,
) : PeerExplanationLog {
    override val store = ExplanationStore(clock)

    /** Records to be copied, and to whom. Belongs to the control thread. */
    private val outbox = Outbox()
    private var lastView: MembershipView? = null

    override fun start() = loop.every(BATCH_MILLIS, ::copyBatch)

    override fun record(explanation: Explanation) {
        store.keep(explanation)
        loop.execute { outbox.add(explanation.requestId, membership.view().holders(explanation.requestId, self)) }
    }

    override fun find(requestId: RequestId): List<Explanation> {
        store.find(requestId)?.let { return listOf(it) }
        val others = membership.view().ranked(requestId.value).filter { it.process != self }
        return others
            .asSequence()
            .map { peers.find(it, requestId) }
            .firstOrNull { it.isNotEmpty() }
            .orEmpty()
    }

    override fun handOver(by: Deadline): Int {
        val view = membership.view()
        val batches = Outbox()
        store.ids().forEach { batches.add(it, view.holders(it, self)) }
        val held = HashMap<RequestId, Int>()
        while (!by.hasPassed(clock.monotonicMillis())) {
            val batch = batches.take() ?: break
            if (send(batch) is KeepResult.Success) batch.ids.forEach { held.merge(it, 1, Int::plus) }
        }
        return store.ids().count { (held[it] ?: 0) < COPIES }
    }

    private fun copyBatch() {
        noteMembership()
        val batch = outbox.take() ?: return
        loop.call({ send(batch) }) { result -> onSent(batch, result) }
    }

    private fun onSent(
        batch: Batch,
        result: KeepResult,
    ) {
        if (result is KeepResult.Success) return
        val view = membership.view()
        batch.ids.forEach { id -> outbox.add(id, view.holders(id, self).filter { it.process == batch.to.process }) }
    }

    private fun send(batch: Batch): KeepResult {
        val records = batch.ids.mapNotNull(store::find)
        return if (records.isEmpty()) KeepResult.Success else peers.keep(batch.to, records)
    }

    /** When members have come or gone, each holder of a record gives it to those that now are to hold it too. */
    private fun noteMembership() {
        val view = membership.view()
        val before = lastView
        lastView = view
        if (before == null || before.active == view.active) return
        store.ids().forEach { id ->
            val old = before.holders(id, self).toSet()
            outbox.add(id, view.holders(id, self).filter { it !in old })
        }
    }

    private companion object {
        const val BATCH_MILLIS = 200L
    }
}
