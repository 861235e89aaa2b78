/*
 * What is known of one request while it is forwarded, and how it ends.
 */
package auburnhall.gateway

import auburnhall.core.Event
import auburnhall.core.ScheduledTask
import auburnhall.core.logRequest
import auburnhall.routing.Target
import auburnhall.routing.TargetKey
import auburnhall.routing.TargetRequirements

/** The state of one request. Traffic thread only. */
class RequestState(
    private val context: GatewayContext,
    val accepted: AcceptedRequest,
    val answer: CallerResponse,
    private val inFlight: InFlightRequests,
) {
    private val sentTo = LinkedHashSet<TargetKey>()
    private val unreachable = HashSet<TargetKey>()

    /** Ends the request at its deadline. */
    var deadlineTask: ScheduledTask? = null

    /** The sending in progress; null while there is none. */
    internal var attempt: Attempt? = null

    /** Whether the caller has its answer. */
    var ended = false
        private set

    /** Whether a worker may have run the request. */
    var mayHaveRun = false

    /** Whether it may be sent to one more worker though it may have run. */
    val mayRepeat: Boolean get() = accepted.route.repeatable && mayResend

    /** Whether it may be sent to one more worker if it has not run. */
    val mayResend: Boolean get() = sentTo.size < accepted.route.maxAttempts

    /** Whether so many targets could not be reached that no more are tried. */
    val unreachableEverywhere: Boolean get() = unreachable.size > MAX_UNREACHABLE

    /** Targets that can serve it. */
    fun targets(): List<Target> = context.state.targets.of(accepted.service, accepted.metadata.model)

    /** What it needs of its next target. */
    fun requirements() = TargetRequirements(accepted.service, accepted.metadata.model, sentTo + unreachable)

    /** It was sent to [key]. */
    fun onSent(key: TargetKey) {
        if (sentTo.isNotEmpty()) context.listener.logRequest("request.resent", accepted.id, "target" to key.text)
        sentTo.add(key)
    }

    /** Nothing of it reached [key]. */
    fun onUnreachable(key: TargetKey) {
        sentTo.remove(key)
        unreachable.add(key)
    }

    /** Takes [from] out of the work in progress. */
    internal fun detach(from: Attempt) {
        if (attempt === from) attempt = null
        from.release()
    }

    /** Notes the end and logs it with [details]. */
    fun end(
        outcome: String,
        vararg details: Pair<String, Any?>,
    ) {
        ended = true
        deadlineTask?.cancel()
        attempt?.let { detach(it) }
        val took = context.clock.nowMs() - accepted.request.receivedAt
        context.metrics.onRequestEnded(
            accepted.route.kind.name
                .lowercase(),
            outcome,
            took,
        )
        val common =
            listOf(
                "outcome" to outcome,
                "route" to accepted.route.name,
                "customer" to accepted.customer?.name,
                "targets" to sentTo.joinToString(",") { it.text },
                "took_ms" to took,
                "first_event_ms" to answer.firstEventAt?.let { it - accepted.request.receivedAt },
                "longest_pause_ms" to answer.longestPauseMs.takeIf { answer.firstEventAt != null },
                "configuration" to accepted.configuration.version,
            )
        context.listener.onEvent(Event("request.ended", accepted.id, common + details))
        inFlight.onEnded()
    }

    private companion object {
        /** Targets without a connection before a request is given up. */
        const val MAX_UNREACHABLE = 3
    }
}
