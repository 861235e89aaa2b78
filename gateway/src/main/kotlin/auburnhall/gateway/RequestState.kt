/*
 * State of one request while it is forwarded, and the metrics and log event when it ends.
 */
package auburnhall.gateway

import auburnhall.core.Event
import auburnhall.core.ScheduledTask
import auburnhall.core.logRequest
import auburnhall.routing.Choice
import auburnhall.routing.Target
import auburnhall.routing.TargetKey
import auburnhall.routing.TargetRequirements

/** The state of one request. Traffic thread only. */
class RequestState(
    private val context: GatewayContext,
    val accepted: AcceptedRequest,
    val response: CallerResponse,
    private val onEnded: () -> Unit,
) {
    private val sentTo = LinkedHashSet<TargetKey>()
    private val unreachable = HashSet<TargetKey>()
    private var rejections = 0

    /** Keeps the request from crashing workers. */
    internal val crashes = CrashPrevention(context, accepted)

    /** The processes that it can be passed on to. */
    internal val helpers = RequestHelpers(context, accepted)

    /** Ends the request at its deadline. */
    var deadlineTask: ScheduledTask? = null

    /** The attempt in progress; null while there is none. */
    internal var attempt: Attempt? = null

    /** Whether the request has ended, with or without a response. */
    var ended = false
        private set

    /** Whether a worker may have executed the request. */
    var mayHaveExecuted = false

    /** Whether the request may be sent to another worker although one may have executed it. */
    val mayRepeat: Boolean get() = accepted.route.repeatable && hasAttemptsLeft && response.continuable

    /** Whether the request may be sent to another worker if none has executed it. */
    val hasAttemptsLeft: Boolean get() = sentTo.size - rejections < accepted.route.maxAttempts

    /** Whether connecting has failed for so many targets that no further one is tried. */
    val connectAttemptsExhausted: Boolean get() = unreachable.size > MAX_UNREACHABLE_TARGETS

    /** The targets that can serve the request; none of those that have said that they leave. */
    fun targets(): List<Target> =
        context.state.targets
            .of(accepted.service, accepted.metadata.model)
            .filterNot(context.notices::isLeaving)

    /** Number of targets, at least 1, that the request may still be sent to. */
    val attemptsLeft: Int get() = (accepted.route.maxAttempts - (sentTo.size - rejections)).coerceAtLeast(1)

    /** Whether no connection could be made to some of its targets. */
    val hasUnreachable: Boolean get() = unreachable.isNotEmpty()

    /** Chooses the next target that the request was not sent to: another process if no worker is reached. */
    fun choose(): Choice {
        val requirements = TargetRequirements(accepted.service, accepted.metadata.model, sentTo + unreachable)
        val choice = helpers.choose() ?: context.router.choose(requirements, targets(), context::waitMs)
        return if (choice is Choice.None && isEvacuated()) Choice.Evacuated else choice
    }

    private fun isEvacuated() = context.state.targets.isEvacuated(accepted.service, accepted.metadata.model)

    /** Whether there is a target that the request was not sent to and that is not suspect. */
    fun hasAlternative(): Boolean =
        context.reachability.isolated ||
            targets().any { it.key !in sentTo && it.key !in unreachable && !context.health.isSuspect(it.key) }

    /** Records that the request was sent to [key]. */
    fun onSent(key: TargetKey) {
        if (sentTo.isNotEmpty()) context.listener.logRequest("request.resent", accepted.id, "target" to key.text)
        sentTo.add(key)
    }

    /** Records that no connection to [key] could be made, so that nothing was sent. */
    fun onUnreachable(key: TargetKey) {
        sentTo.remove(key)
        unreachable.add(key)
    }

    /** Records that nothing was sent to [key] after all, since the attempt was withdrawn before. */
    fun onWithdrawn(key: TargetKey) {
        sentTo.remove(key)
    }

    /**
     * Records that a target rejected the request without executing it. While a stream is under way, the first few
     * rejections do not use up attempts: giving up would lose what the caller has received.
     */
    fun onRejected() {
        if (response.streaming && rejections < MAX_FREE_REJECTIONS) rejections++
    }

    /** Marks [finished] as no longer in progress and removes it from the load of its target. */
    internal fun detach(finished: Attempt) {
        if (attempt === finished) attempt = null
        finished.release()
    }

    /** Ends the request with [outcome], counts it in the metrics and logs it with [details]. */
    fun end(
        outcome: String,
        details: List<Pair<String, Any?>> = emptyList(),
    ) {
        ended = true
        deadlineTask?.cancel()
        val last = attempt
        last?.let { detach(it) }
        val tookMs = context.clock.nowMs() - accepted.request.receivedAt
        context.metrics.onRequestEnded(
            accepted.route.kind.name
                .lowercase(),
            outcome,
            tookMs,
        )
        val common =
            listOf(
                "outcome" to outcome,
                "route" to accepted.route.name,
                "customer" to accepted.customer?.name,
                "targets" to sentTo.joinToString(",") { it.text },
                "took_ms" to tookMs,
                "first_event_ms" to response.firstEventAtMs?.let { it - accepted.request.receivedAt },
                "longest_pause_ms" to response.longestPauseMs.takeIf { response.firstEventAtMs != null },
                "configuration" to accepted.configuration.version,
                "framing" to last?.framing,
                "events" to last?.eventCount,
            )
        context.listener.onEvent(Event("request.ended", accepted.id, common + details))
        onEnded()
    }

    private companion object {
        /** A request ends when connecting has failed for more targets than this. */
        const val MAX_UNREACHABLE_TARGETS = 3

        /** Replicas that may be torn down or full at the same moment while a stream looks for another one. */
        const val MAX_FREE_REJECTIONS = 2
    }
}
