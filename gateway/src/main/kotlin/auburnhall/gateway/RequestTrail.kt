/*
 * What happened to one request, gathered while it is served and handed over once when it ends.
 */
package auburnhall.gateway

import auburnhall.core.Customer
import auburnhall.core.Deadline
import auburnhall.core.Explanation
import auburnhall.core.ExplanationEvent
import auburnhall.core.HttpStatus
import auburnhall.core.Reason
import auburnhall.core.Refusal
import auburnhall.core.RequestId
import auburnhall.core.RunState
import auburnhall.core.StepError

/** The trail of one request. May be ended by any thread; only the first end counts. */
internal class RequestTrail(
    private val parts: GatewayParts,
    val requestId: RequestId,
) {
    private val arrivedMillis = parts.clock.monotonicMillis()
    private val arrivedAt = parts.clock.now()
    private val events = ArrayList<ExplanationEvent>()
    private var refusal: Refusal? = null
    private var lastError: StepError? = null
    private var ended = false

    /** Who calls; null until known. */
    @Volatile
    var customer: Customer? = null

    /** The model or service asked for; empty until known. */
    @Volatile
    var target: String = ""

    /** Generated tokens given to the caller so far. */
    @Volatile
    var tokens: Int = 0

    /** The deadline [millis] after arrival. */
    fun deadlineIn(millis: Long) = Deadline(arrivedMillis + millis)

    /** Milliseconds since arrival. */
    fun elapsedMillis(): Long = parts.clock.monotonicMillis() - arrivedMillis

    /** Notes that [error] delayed or interrupted the request. */
    @Synchronized
    fun add(
        reason: Reason,
        error: StepError,
    ) {
        lastError = error
        events += ExplanationEvent(elapsedMillis(), error.step, error.peer, reason, sentence(reason, error))
    }

    /** Notes why the request is refused. */
    @Synchronized
    fun refuse(refused: Refusal) {
        refusal = refused
        add(refused.reason, refused.error)
    }

    /** Ends the request: keeps its explanation when there is something to explain. */
    fun end(
        status: Int,
        runState: RunState,
    ) {
        val summary =
            synchronized(this) {
                if (ended) return
                ended = true
                summary(status, runState)
            }
        explanation(summary)?.let(parts.explanations::record)
        parts.listener.onEnd(summary)
    }

    /** Ends the request as refused. */
    fun endRefused() {
        val r = synchronized(this) { refusal }
        end(r?.reason?.status ?: HttpStatus.INTERNAL_ERROR, r?.runState ?: RunState.MAY_HAVE_RUN)
    }

    private fun summary(
        status: Int,
        runState: RunState,
    ) = RequestSummary(
        requestId,
        customer?.id,
        target,
        status,
        runState,
        refusal?.reason,
        lastError,
        elapsedMillis(),
        tokens,
    )

    private fun explanation(summary: RequestSummary): Explanation? {
        val kept = synchronized(this) { events.toList() }
        if (kept.isEmpty()) return null
        return Explanation(
            requestId,
            customer?.id,
            customer?.plan,
            target,
            parts.self,
            arrivedAt.toString(),
            summary.tookMillis,
            summary.runState,
            summary.status,
            kept,
        )
    }

    private fun sentence(
        reason: Reason,
        error: StepError,
    ) = "${reason.words} (${error.peer}: ${error.message})".take(DETAIL_CHARS)

    private companion object {
        const val DETAIL_CHARS = 500
    }
}
