/*
 * The life of one accepted request: when it is sent, where it waits, and when it is sent once more.
 */
package auburnhall.gateway

import auburnhall.core.logRequest
import auburnhall.http.ResponseWriter
import auburnhall.routing.Admission
import auburnhall.routing.AdmissionPolicy
import auburnhall.routing.Choice
import auburnhall.routing.Liveness
import auburnhall.routing.QueueState
import auburnhall.routing.Target

/** Forwards one request. Traffic thread only. */
class ForwardedRequest internal constructor(
    private val context: GatewayContext,
    private val accepted: AcceptedRequest,
    private val response: ResponseWriter,
    private val inFlight: InFlightRequests,
) {
    private val answer = CallerResponse(context.clock, response, context.codecs.caller, accepted)
    private val state = RequestState(context, accepted, answer, inFlight)
    private val outcomes = AttemptOutcomeHandler(context, state, this)

    /** Targets that can serve the request. */
    val pool = TargetPool(accepted.service, accepted.metadata.model)

    /** 0 is served first. */
    val priority: Int get() = accepted.customer?.priority ?: accepted.route.priority

    /** When the request was received. */
    val receivedAt: Long get() = accepted.request.receivedAt

    /** Whether nothing of it is at a worker. */
    val done: Boolean get() = state.attempt == null

    /** Begins; called once. */
    fun start() {
        response.onDisconnect = { outcomes.onCallerGone() }
        state.deadlineTask =
            context.scheduler.after(accepted.deadline - context.clock.nowMs()) { outcomes.onDeadline() }
        dispatch()
    }

    /** Whether a place that it gets [now] lets its answer be on time. */
    fun canBeOnTime(now: Long): Boolean = now - receivedAt + FIRST_EVENT_MS <= accepted.route.targetLatencyMs

    /** Whether it has waited for as long as any request waits. */
    fun waitedLongest(now: Long): Boolean = now - receivedAt >= AdmissionPolicy.MAX_WAIT_MS

    /** Sends the request to a target, lets it wait, or refuses it; returns whether it does not wait. */
    fun dispatch(): Boolean = state.ended || decide() !is Admission.Wait

    /** Moves a stream away from a replica that has fallen silent. */
    fun checkSilence() {
        val current = state.attempt ?: return
        val key = current.target.key
        val liveness = context.failureDetector.liveness(key, current.lastEventAt, current.hasEvents)
        if (liveness != Liveness.ALIVE && !context.health.isSuspect(key)) suspect(current)
        val lost = liveness == Liveness.LOST || context.health.isLost(key)
        if (lost && state.mayRepeat && hasAlternative()) {
            current.abandon()
            state.detach(current)
            state.mayHaveRun = true
            if (!tryRetry("silent")) outcomes.breakOff("retry budget is used up")
        }
    }

    /** Takes a second try out of the budget and makes it; false when there is none left. */
    internal fun tryRetry(reason: String): Boolean {
        if (!context.budgets.of(accepted.service).tryAcquire()) return false
        context.metrics.onRetry(reason)
        context.listener.logRequest(
            "request.retried",
            accepted.id,
            "reason" to reason,
            "after_event" to answer.lastEventId,
        )
        dispatch()
        return true
    }

    private fun decide(): Admission {
        val choice = context.router.choose(state.requirements(), state.targets())
        val admission =
            if (choice is Choice.Full && state.mayHaveRun) {
                Admission.Send(choice.target, choice.load)
            } else {
                context.admission.decide(
                    choice,
                    QueueState(
                        context.clock.nowMs() - receivedAt,
                        inFlight.waiting.waitingIn(pool),
                        inFlight.waiting.sentLastSecond(pool),
                    ),
                )
            }
        when (admission) {
            is Admission.Send -> send(admission.target)
            is Admission.Wait -> inFlight.waiting.add(this)
            is Admission.Refuse -> outcomes.onNoTarget(admission)
        }
        return admission
    }

    private fun send(target: Target) {
        state.onSent(target.key)
        inFlight.waiting.onSent(pool)
        val resumeAfterEventId = answer.lastEventId?.toString() ?: accepted.metadata.lastEventId
        val started = Attempt(context, accepted, target, AttemptOptions(resumeAfterEventId, priority), outcomes)
        state.attempt = started
        if (target.replica != null) inFlight.watch(this)
        started.send()
    }

    private fun suspect(current: Attempt) {
        val key = current.target.key
        context.health.markSuspect(key)
        context.onSuspect.onSuspect(key)
        val silentMs = context.clock.nowMs() - current.lastEventAt
        context.listener.logRequest("replica.suspected", accepted.id, "target" to key.text, "silent_ms" to silentMs)
    }

    private fun hasAlternative(): Boolean {
        val tried = state.requirements().tried
        return state.targets().any { it.key !in tried && !context.health.isSuspect(it.key) }
    }

    private companion object {
        /** Time from a free place to the first event of a short prompt, in milliseconds. */
        const val FIRST_EVENT_MS = 130L
    }
}
