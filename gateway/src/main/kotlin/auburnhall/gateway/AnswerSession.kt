/*
 * One answer, over as many replicas as it takes. When a replica fails, the answer goes on at another one from the text
 * that has been delivered. No event of a replica that was given up is read, because its attempt is ended before the
 * next one is opened.
 */
package auburnhall.gateway

import auburnhall.core.Deadline
import auburnhall.core.Reason
import auburnhall.core.Refusal
import auburnhall.core.Step
import auburnhall.core.StepError
import auburnhall.engine.ChatEvent
import auburnhall.limits.TicketOutcome

/** What a session tells its caller. */
internal sealed interface AnswerEvent {
    /** More text. */
    data class Text(
        val text: String,
    ) : AnswerEvent

    /** The whole answer has been delivered. */
    data class Finished(
        val finishReason: String,
        val promptTokens: Int,
        val generatedTokens: Int,
    ) : AnswerEvent

    /** The answer ends here, incomplete. */
    data class Failed(
        val refusal: Refusal,
    ) : AnswerEvent
}

/**
 * What a session is asked for.
 *
 * @property dispatchBefore the first byte must not be sent at or after this; null when it may be sent at any time.
 * @property once whether the request must not be sent again after a replica may have received it.
 */
internal data class AnswerOrder(
    val caller: Authenticated,
    val chat: ChatRequest,
    val dispatchBefore: Deadline? = null,
    val once: Boolean = false,
)

/** Delivers one answer. [next] is called by one thread; [close] may come from any. */
internal class AnswerSession(
    private val parts: GatewayParts,
    private val order: AnswerOrder,
) : AutoCloseable {
    private val clock = parts.clock
    private val settings = parts.settings
    private val times = AnswerTimes(order.caller, settings)
    private val progress = AnswerProgress(parts, order.caller)
    private val slot = AttemptSlot()
    private val opener = AttemptOpener(parts, order, times, progress, slot)

    /** A replica may fail between the last token that was asked for and the end of its stream. */
    private val tokenLimit = order.chat.maxTokens ?: Int.MAX_VALUE

    /** The text delivered so far. */
    val text: String get() = progress.text

    /** Waits for the next event. After [AnswerEvent.Finished] or [AnswerEvent.Failed] none follows. */
    fun next(): AnswerEvent {
        slot.current()?.let(::expectSoon)
        while (true) {
            val attempt = slot.current()
            val event = if (attempt == null) whyNotOpen() ?: opener.open() else read(attempt)
            if (event != null) return event
        }
    }

    /** Cancels the answer at the engine and gives its place back; does nothing once the answer has ended. */
    override fun close() = slot.close()

    /** Counts silence from now, so that a caller who reads slowly does not make a replica look silent. */
    private fun expectSoon(attempt: Attempt) {
        attempt.nextBy = maxOf(attempt.nextBy, times.silentBy(clock.monotonicMillis()))
    }

    private fun whyNotOpen(): AnswerEvent? {
        val failure = progress.lastFailure
        return when {
            slot.isClosed -> progress.callerGone()
            failure == null -> null
            progress.tokens >= tokenLimit -> AnswerEvent.Finished(LENGTH, 0, progress.tokens)
            order.once && progress.mayHaveRun -> progress.failed(Reason.OUTCOME_UNKNOWN, failure)
            times.answerBy.hasPassed(clock.monotonicMillis()) -> progress.failed(Reason.ANSWER_LATE, failure)
            progress.attempts >= settings.attempts -> progress.failed(Reason.ENGINE_FAILED, failure)
            else -> null
        }
    }

    private fun read(attempt: Attempt): AnswerEvent? =
        when (val event = attempt.stream.next(attempt.nextBy)) {
            is ChatEvent.Text -> onText(attempt, event)
            is ChatEvent.Finished -> onFinished(attempt, event)
            is ChatEvent.Broken -> giveUp(attempt, event.error)
            ChatEvent.Silent -> onSilent(attempt)
        }

    private fun onText(
        attempt: Attempt,
        event: ChatEvent.Text,
    ): AnswerEvent? {
        if (slot.isClosed) return progress.callerGone()
        attempt.nextBy = times.silentBy(clock.monotonicMillis())
        val hasText = event.text.isNotEmpty() || event.tokens > 0
        if (hasText) progress.onText(attempt, event)
        return if (hasText) AnswerEvent.Text(event.text) else null
    }

    private fun onFinished(
        attempt: Attempt,
        event: ChatEvent.Finished,
    ): AnswerEvent {
        if (!slot.end(attempt, TicketOutcome.COMPLETED)) return progress.callerGone()
        progress.onFinished(attempt)
        val generated = if (event.generatedTokens > 0) event.generatedTokens else attempt.tokens
        val prompt = (event.promptTokens - attempt.tokensBefore).coerceAtLeast(0)
        return AnswerEvent.Finished(event.finishReason, prompt, attempt.tokensBefore + generated)
    }

    private fun onSilent(attempt: Attempt): AnswerEvent? {
        val now = clock.monotonicMillis()
        val error = StepError(Step.STREAM, attempt.peer, "No token came for ${settings.silenceMillis} ms.")
        return when {
            !attempt.nextBy.hasPassed(now) -> null
            times.latestEnd.hasPassed(now) -> cutOff(attempt, error)
            else -> giveUp(attempt, error)
        }
    }

    private fun cutOff(
        attempt: Attempt,
        error: StepError,
    ): AnswerEvent {
        val ended = slot.end(attempt, TicketOutcome.CANCELLED)
        return if (ended) progress.failed(Reason.ANSWER_LATE, error) else progress.callerGone()
    }

    private fun giveUp(
        attempt: Attempt,
        error: StepError,
    ): AnswerEvent? {
        if (!slot.end(attempt, TicketOutcome.REPLICA_FAILED)) return progress.callerGone()
        progress.onAttemptFailed(attempt.ticket.replica.replica.id, error)
        return null
    }

    private companion object {
        const val LENGTH = "length"
    }
}

/** The deadlines of one answer. */
internal class AnswerTimes(
    private val caller: Authenticated,
    private val settings: GatewaySettings,
) {
    private val trail = caller.arrival.trail

    /** When the plan promises the first token. */
    val firstTokenBy: Deadline = trail.deadlineIn(caller.plan.firstTokenMillis)

    /** When the plan promises the whole answer; no attempt begins later. */
    val answerBy: Deadline = trail.deadlineIn(caller.plan.answerMillis)

    /** When an answer that is still coming is cut off. */
    val latestEnd: Deadline = trail.deadlineIn(caller.plan.answerMillis + settings.overtimeMillis)

    /** When a replica that was heard at [nowMillis] counts as silent. */
    fun silentBy(nowMillis: Long): Deadline = minOf(Deadline(nowMillis + settings.silenceMillis), latestEnd)

    /** When a replica that was given the request at [nowMillis] must have begun to answer. */
    fun beginBy(nowMillis: Long): Deadline = minOf(maxOf(firstTokenBy, silentBy(nowMillis)), latestEnd)

    /** When an attempt that asks for a place at [nowMillis] is to have its first token. */
    fun placeBy(
        nowMillis: Long,
        resumes: Boolean,
    ): Deadline {
        val by = if (resumes) Deadline(nowMillis + caller.plan.firstTokenMillis) else firstTokenBy
        return minOf(by, answerBy)
    }
}
