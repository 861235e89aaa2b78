/*
 * Turns the events of a session into what the caller gets, streamed or whole, and into what the ledger records.
 */
package auburnhall.gateway

import auburnhall.core.HttpStatus
import auburnhall.core.RunState
import auburnhall.ledger.IntentOutcome
import auburnhall.ledger.RecordedAnswer

internal const val EVENT_STREAM = "text/event-stream"

/** The answer of [session]. With [intent] set, its outcome is recorded there. */
internal class ChatAnswer(
    private val session: AnswerSession,
    private val trail: RequestTrail,
    private val head: AnswerHead,
    private val chat: ChatRequest,
    private val intent: GrantedIntent?,
) {
    /** Waits for the first event, and for all of them unless the answer is streamed. */
    fun begin(): Reply {
        val first = session.next()
        return when {
            first is AnswerEvent.Failed -> failed(first)
            chat.stream -> Reply.Streamed(EVENT_STREAM, AnswerStream(this, head, first))
            else -> gather(first)
        }
    }

    /** Waits for the next event of a streamed answer. */
    fun next(): AnswerEvent = session.next()

    /** Writes the end of a whole streamed answer and ends the request. */
    fun finish(
        event: AnswerEvent.Finished,
        encoder: ChunkEncoder,
    ) {
        encoder.finish(event, chat.includeUsage)
        intent?.complete(IntentOutcome.Done(recordedStream(event)))
        trail.end(HttpStatus.OK, RunState.RAN)
    }

    /** Writes the explicit error that ends a streamed answer, and ends the request. */
    fun fail(
        event: AnswerEvent.Failed,
        encoder: ChunkEncoder,
    ) {
        encoder.error(event.refusal)
        trail.refuse(event.refusal)
        complete(event)
        trail.endRefused()
    }

    /** The caller hung up. An answer with an intent goes on, so that a retry can be given it. */
    fun hangUp() {
        if (intent == null) session.close()
        var event = session.next()
        while (event is AnswerEvent.Text) event = session.next()
        val out = ChunkBuffer()
        when (event) {
            is AnswerEvent.Finished -> finish(event, ChunkEncoder(head, out))
            is AnswerEvent.Failed -> fail(event, ChunkEncoder(head, out))
            is AnswerEvent.Text -> error("the loop above ends at another event")
        }
    }

    private fun gather(first: AnswerEvent): Reply {
        var event = first
        while (event is AnswerEvent.Text) event = session.next()
        return when (event) {
            is AnswerEvent.Failed -> failed(event)
            is AnswerEvent.Finished -> whole(event)
            is AnswerEvent.Text -> error("the loop above ends at another event")
        }
    }

    private fun whole(event: AnswerEvent.Finished): Reply {
        val json = completionJson(head, session.text, event).toByteArray()
        intent?.complete(IntentOutcome.Done(RecordedAnswer(HttpStatus.OK, JSON, json)))
        return Reply.Whole(HttpStatus.OK, JSON, json)
    }

    private fun failed(event: AnswerEvent.Failed): Reply {
        complete(event)
        return Reply.Refused(event.refusal)
    }

    private fun recordedStream(event: AnswerEvent.Finished) =
        RecordedAnswer(HttpStatus.OK, EVENT_STREAM, wholeStream(head, session.text, event, chat.includeUsage))

    private fun complete(event: AnswerEvent.Failed) {
        val notRun = event.refusal.runState == RunState.NOT_RUN
        intent?.complete(if (notRun) IntentOutcome.NotRun else IntentOutcome.MayHaveRun)
    }
}
