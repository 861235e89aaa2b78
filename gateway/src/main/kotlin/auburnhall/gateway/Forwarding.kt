/*
 * The life of one accepted request: when it is sent, where it waits, and when it is sent once more.
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
    private val answer = CallerAnswer(parts.clock, reply, parts.codecs.caller, accepted)
    private val state = RequestState(parts, accepted, answer, room)
    private val outcomes = AttemptOutcomes(parts, state, this)

    /** Targets that can serve the request. */
    val pool = Pool(accepted.service, accepted.terms.model)

    /** 0 is served first. */
    val priority: Int get() = accepted.customer?.priority ?: accepted.route.priority

    /** When the request was received. */
    val receivedAt: Long get() = accepted.request.receivedAt

    /** Whether nothing of it is at a worker. */
    val done: Boolean get() = state.attempt == null

    /** Begins; called once. */
    fun start() {
        reply.onGone = { outcomes.onCallerGone() }
        state.deadlineTask = parts.scheduler.after(accepted.deadline - parts.clock.nowMs()) { outcomes.onDeadline() }
        dispatch()
    }

    /** Whether a place that it gets [now] lets its answer be on time. */
    fun canBeOnTime(now: Long): Boolean = now - receivedAt + FIRST_EVENT_MS <= accepted.route.targetLatencyMs

    /** Whether it has waited for as long as any request waits. */
    fun waitedLongest(now: Long): Boolean = now - receivedAt >= AdmissionPolicy.LONGEST_WAIT_MS

    /** Sends the request to a target, lets it wait, or refuses it; returns whether it does not wait. */
    fun dispatch(): Boolean = state.ended || decide() !is Admission.Wait

    /** Moves a stream away from a replica that has fallen silent. */
    fun checkSilence() {
        val current = state.attempt ?: return
        val key = current.target.key
        val silence = parts.silence.judge(key, current.lastEventAt, current.hasEvents)
        if (silence != Silence.NONE && !parts.health.isSuspect(key)) suspect(current)
        val lost = silence == Silence.LOST || parts.health.isLost(key)
        if (lost && state.mayRepeat && hasAlternative()) {
            current.abandon()
            state.detach(current)
            state.mayHaveRun = true
            if (!tryRetry("silent")) outcomes.breakOff("retry budget is used up")
        }
    }

    /** Takes a second try out of the budget and makes it; false when there is none left. */
    internal fun tryRetry(reason: String): Boolean {
        if (!parts.budgets.of(accepted.service).tryRetry()) return false
        parts.metrics.onRetry(reason)
        parts.listener.logRequest(
            "request.retried",
            accepted.id,
            "reason" to reason,
            "after_event" to answer.lastEventId,
        )
        dispatch()
        return true
    }

    private fun decide(): Admission {
        val choice = parts.router.choose(state.demand(), state.targets())
        val admission =
            if (choice is Choice.Full && state.mayHaveRun) {
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
        val resumeAfter = answer.lastEventId?.toString() ?: accepted.terms.lastEventId
        val started = Attempt(parts, accepted, target, AttemptTerms(resumeAfter, priority), outcomes)
        state.attempt = started
        if (target.replica != null) room.watch(this)
        started.send()
    }

    private fun suspect(current: Attempt) {
        val key = current.target.key
        parts.health.suspect(key)
        parts.onSuspect.onSuspect(key)
        val silentMs = parts.clock.nowMs() - current.lastEventAt
        parts.listener.logRequest("replica.suspected", accepted.id, "target" to key.text, "silent_ms" to silentMs)
    }

    private fun hasAlternative(): Boolean {
        val tried = state.demand().tried
        return state.targets().any { it.key !in tried && !parts.health.isSuspect(it.key) }
    }

    private companion object {
        /** Time from a free place to the first event of a short prompt, in milliseconds. */
        const val FIRST_EVENT_MS = 130L
    }
}
