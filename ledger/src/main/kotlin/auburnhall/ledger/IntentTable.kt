/*
 * The records of one shard and the decisions about requests that want to dispatch. A table is used by one thread.
 */
package auburnhall.ledger

import auburnhall.core.Clock
import auburnhall.core.Deadline
import auburnhall.core.ProcessId
import auburnhall.core.deadlineIn

/** What to do about a request that wants to dispatch. */
internal sealed interface ReserveDecision {
    data class Answer(
        val reply: ReserveReply,
    ) : ReserveDecision

    /** [record] must be kept before the request is told that it may dispatch. */
    data class Keep(
        val record: IntentRecord,
    ) : ReserveDecision
}

/** The records of one shard. It holds only what is known to be in the store. */
internal class IntentTable(
    private val clock: Clock,
) {
    private data class Entry(
        val record: IntentRecord,
        val segment: Long,
        val inProgressUntil: Deadline,
    )

    private val entries = HashMap<IntentKey, Entry>()

    val size: Int get() = entries.size

    /** Takes in a [record] that is kept in [segment]. A reservation counts as in progress from now. */
    fun put(
        record: IntentRecord,
        segment: Long,
    ) {
        if (record.state == IntentState.FREED) {
            entries.remove(record.key)
            return
        }
        val before = entries[record.key]?.takeIf { it.record == record }
        val until = before?.inProgressUntil ?: clock.deadlineIn(LedgerTimes.IN_PROGRESS_MILLIS)
        entries[record.key] = Entry(record, segment, until)
    }

    /** Decides whether [request], served by [from], may dispatch. */
    fun reserve(
        request: IntentRequest,
        from: ProcessId,
    ): ReserveDecision {
        val known = live(request.key) ?: return ReserveDecision.Keep(reservation(request, from))
        return ReserveDecision.Answer(replyTo(request, from, known))
    }

    /** Decides about the [outcome] that [request] reports. */
    fun complete(
        request: IntentRequest,
        outcome: IntentOutcome,
    ): CompleteDecision = decideCompletion(live(request.key)?.record, request, outcome, nowMillis())

    /** Forgets records that have expired. */
    fun dropExpired() {
        val now = nowMillis()
        entries.values.removeIf { it.record.isExpired(now) }
    }

    /** The records that count and stand last in [segment]. */
    fun inSegment(segment: Long): List<IntentRecord> = entries.values.filter { it.segment == segment }.map { it.record }

    private fun live(key: IntentKey): Entry? = entries[key]?.takeUnless { it.record.isExpired(nowMillis()) }

    private fun reservation(
        request: IntentRequest,
        from: ProcessId,
    ) = IntentRecord(
        customer = request.customer,
        idempotencyKey = request.idempotencyKey,
        bodyDigest = request.bodyDigest,
        request = request.requestId,
        process = from,
        state = IntentState.RESERVED,
        atMillis = nowMillis(),
    )

    private fun replyTo(
        request: IntentRequest,
        from: ProcessId,
        known: Entry,
    ): ReserveReply {
        val record = known.record
        return when {
            record.bodyDigest != request.bodyDigest -> ReserveReply.KeyReused(record.request)
            record.answer != null -> ReserveReply.Done(record.request, record.answer.toRecorded())
            record.state == IntentState.MAY_HAVE_RUN -> ReserveReply.MayHaveRun(record.request)
            record.request == request.requestId && record.process == from -> granted()
            known.inProgressUntil.hasPassed(clock.monotonicMillis()) -> ReserveReply.MayHaveRun(record.request)
            else -> ReserveReply.InProgress(record.request)
        }
    }

    private fun nowMillis() = clock.now().toEpochMilli()
}

/** The permission that every granted request gets. */
internal fun granted() = ReserveReply.Granted(LedgerTimes.DISPATCH_WINDOW_MILLIS)
