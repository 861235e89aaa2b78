/*
 * One accepted request: when it is sent to a target, queued, refused or retried.
 */
package auburnhall.gateway

import auburnhall.core.logRequest
import auburnhall.http.Reply
import auburnhall.routing.Admission
import auburnhall.routing.AdmissionPolicy
import auburnhall.routing.Choice
import auburnhall.routing.Silence
import auburnhall.routing.Target
import auburnhall.routing.Waiting

/** Forwards one request. Traffic thread only. */
class Forwarding internal constructor(
    private val parts: GatewayParts,
    private val accepted: AcceptedRequest,
    private val reply: Reply,
    private val room: ForwardingRoom,
) {
    private val callerResponse = CallerAnswer(parts.clock, reply, parts.codecs.caller, accepted)
    private val state = RequestState(parts, accepted, callerResponse, room)
    private val outcomes = AttemptOutcomes(parts, state, this)

    /** The targets that can serve the request. */
    val pool = Pool(accepted.service, accepted.terms.model)

    /** 0 is served first. */
    val priority: Int get() = accepted.customer?.priority ?: accepted.route.priority

    /** When the request was received, in milliseconds of the monotonic clock. */
    val receivedAt: Long get() = accepted.request.receivedAt

    /** Whether no attempt is in progress. */
    val hasNoAttempt: Boolean get() = state.attempt == null

    /** Starts forwarding; called once. */
    fun start() {
        reply.onGone = { outcomes.onCallerDisconnected() }
        state.deadlineTask = parts.scheduler.after(accepted.deadline - parts.clock.nowMs()) { outcomes.onDeadline() }
        dispatch()
    }

    /** Whether the latency target of the route can still be met if the request is sent at [now]. */
    fun canMeetTarget(now: Long): Boolean = now - receivedAt + FIRST_EVENT_MS <= accepted.route.targetLatencyMs

    /** Whether the request has waited for the longest time that a request may wait. */
    fun waitedLongest(now: Long): Boolean = now - receivedAt >= AdmissionPolicy.LONGEST_WAIT_MS

    /** Sends the request to a target, queues it, or refuses it; returns false if it was queued. */
    fun dispatch(): Boolean = state.ended || decide() !is Admission.Wait

    /**
     * Suspects the replica of the current attempt if it has sent nothing for too long, and retries the request at
     * another target once the replica counts as lost.
     */
    fun checkReplica() {
        val current = state.attempt ?: return
        val key = current.target.key
        val silence = parts.silence.judge(key, current.lastProgressAtMs, current.hasEvents)
        if (silence != Silence.NONE && !parts.health.isSuspect(key)) suspect(current)
        val lost = silence == Silence.LOST || parts.health.isLost(key)
        if (lost && state.mayRepeat && hasAlternative()) {
            current.cancel()
            state.detach(current)
            state.mayHaveExecuted = true
            if (!tryRetry("silent")) outcomes.endWithError("replica is silent and retry budget is used up")
        }
    }

    /** Dispatches the request again if the retry budget allows it; returns false otherwise. */
    internal fun tryRetry(reason: String): Boolean {
        if (!parts.budgets.of(accepted.service).tryRetry()) return false
        parts.metrics.onRetry(reason)
        parts.listener.logRequest(
            "request.retried",
            accepted.id,
            "reason" to reason,
            "after_event" to callerResponse.lastEventId,
        )
        dispatch()
        return true
    }

    private fun decide(): Admission {
        val choice = parts.router.choose(state.demand(), state.targets())
        val admission =
            if (choice is Choice.Full && state.mayHaveExecuted) {
                Admission.Send(choice.target, choice.load)
            } else {
                parts.admission.decide(
                    choice,
                    Waiting(
                        parts.clock.nowMs() - receivedAt,
                        room.waiting.waitingIn(pool),
                        room.waiting.sentLastSecond(pool),
                    ),
                )
            }
        when (admission) {
            is Admission.Send -> send(admission.target)
            is Admission.Wait -> room.waiting.add(this)
            is Admission.Refuse -> outcomes.onNoTarget(admission)
        }
        return admission
    }

    private fun send(target: Target) {
        state.onSent(target.key)
        room.waiting.onSent(pool)
        val resumeAfter = callerResponse.lastEventId?.toString() ?: accepted.terms.lastEventId
        val attempt = Attempt(parts, accepted, target, AttemptTerms(resumeAfter, priority), outcomes)
        state.attempt = attempt
        if (target.replica != null) room.watch(this)
        attempt.send()
    }

    private fun suspect(current: Attempt) {
        val key = current.target.key
        parts.health.suspect(key)
        parts.suspicionListener.onSuspect(key)
        val silentMs = parts.clock.nowMs() - current.lastProgressAtMs
        parts.listener.logRequest("replica.suspected", accepted.id, "target" to key.text, "silent_ms" to silentMs)
    }

    private fun hasAlternative(): Boolean {
        val tried = state.demand().tried
        return state.targets().any { it.key !in tried && !parts.health.isSuspect(it.key) }
    }

    private companion object {
        /** Time from sending a request with a short prompt to its first event. */
        const val FIRST_EVENT_MS = 130L
    }
}
