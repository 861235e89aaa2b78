/*
 * The life of one accepted request: which workers it is sent to, and what the caller gets.
 */
package auburnhall.gateway

import auburnhall.core.ScheduledTask
import auburnhall.core.logRequest
import auburnhall.http.CallFailure
import auburnhall.http.CallStep
import auburnhall.http.Reply
import auburnhall.routing.Admission
import auburnhall.routing.AdmissionPolicy
import auburnhall.routing.Choice
import auburnhall.routing.Demand
import auburnhall.routing.Silence
import auburnhall.routing.Target
import auburnhall.routing.TargetKey
import auburnhall.routing.Waiting
import io.netty.buffer.Unpooled
import io.netty.handler.codec.http.HttpHeaders

/** Forwards one request. */
class Forwarding internal constructor(
    private val parts: GatewayParts,
    internal val accepted: AcceptedRequest,
    private val reply: Reply,
    private val waiting: WaitingRoom,
    private val streams: MutableSet<Forwarding>,
) {
    private val route = accepted.route
    private val sentTo = LinkedHashSet<TargetKey>()
    private val unreachable = HashSet<TargetKey>()
    private var attempt: Attempt? = null
    private var deadlineTask: ScheduledTask? = null
    private var ended = false

    /** Whether a worker may have run the request. */
    private var mayHaveRun = false

    /** Whether the caller has the head of a stream. */
    private var streaming = false
    private var lastEventId: Long? = null
    private var firstEventAt: Long? = null
    private var lastWriteAt = 0L
    private var longestPauseMs = 0L

    /** 0 is served first. */
    val priority: Int get() = accepted.customer?.priority ?: route.priority

    /** When the request was received. */
    val receivedAt: Long get() = accepted.request.receivedAt

    /** Begins; called once. */
    fun start() {
        reply.onGone = { onCallerGone() }
        deadlineTask = parts.scheduler.after(accepted.deadline - parts.clock.nowMs()) { onDeadline() }
        dispatch()
    }

    /** Targets that can serve the request. */
    val pool = Pool(accepted.service, accepted.terms.model)

    /** Whether a place that it gets [now] lets its answer be on time. */
    fun canBeOnTime(now: Long): Boolean = now - receivedAt + FIRST_EVENT_MS <= route.targetLatencyMs

    /** Whether it has waited for as long as any request waits. */
    fun waitedLongest(now: Long): Boolean = now - receivedAt >= AdmissionPolicy.LONGEST_WAIT_MS

    /** Sends the request to a target, lets it wait, or refuses it; returns whether it does not wait. */
    fun dispatch(): Boolean {
        if (ended) return true
        val targets = parts.state.targets.of(accepted.service, accepted.terms.model)
        val choice = parts.router.choose(Demand(accepted.service, accepted.terms.model, sentTo + unreachable), targets)
        val waitedMs = parts.clock.nowMs() - receivedAt
        val facts = Waiting(waitedMs, waiting.waitingIn(pool), waiting.sentLastSecond(pool))
        if (choice is Choice.Full && mayHaveRun) {
            send(choice.target, choice.load)
            return true
        }
        val admission = parts.admission.decide(choice, facts)
        when (admission) {
            is Admission.Send -> send(admission.target, admission.load)
            is Admission.Wait -> waiting.add(this)
            is Admission.Refuse -> onNoTarget(admission)
        }
        return admission !is Admission.Wait
    }

    /** Moves a stream away from a replica that has fallen silent. */
    fun checkSilence() {
        val current = attempt ?: return
        val key = current.target.key
        val silence = parts.silence.judge(key, current.lastEventAt, current.hasEvents)
        if (silence != Silence.NONE && !parts.health.isSuspect(key)) suspect(key, current)
        val lost = silence == Silence.LOST || parts.health.isLost(key)
        if (lost && mayRepeat() && hasAlternative()) {
            current.abandon()
            detach(current)
            retry("silent")
        }
    }

    private fun suspect(
        key: TargetKey,
        current: Attempt,
    ) {
        parts.health.suspect(key)
        parts.onSuspect.onSuspect(key)
        val silentMs = parts.clock.nowMs() - current.lastEventAt
        parts.listener.logRequest("replica.suspected", accepted.id, "target" to key.text, "silent_ms" to silentMs)
    }

    private fun hasAlternative(): Boolean =
        parts.state.targets.of(accepted.service, accepted.terms.model).any {
            it.key !in sentTo && !parts.health.isSuspect(it.key)
        }

    private fun send(
        target: Target,
        load: Int,
    ) {
        sentTo.add(target.key)
        waiting.onSent(pool)
        val started = Attempt(parts, accepted, target, resumeAfter(), this)
        attempt = started
        if (target.replica != null) streams.add(this)
        if (sentTo.size > 1) {
            parts.listener.logRequest("request.resent", accepted.id, "target" to target.key.text, "load" to load)
        }
        started.send()
    }

    private fun resumeAfter(): String? = lastEventId?.toString() ?: accepted.terms.lastEventId

    internal fun onStreamHead(
        from: Attempt,
        headers: HttpHeaders,
    ) {
        if (from !== attempt || streaming) return
        streaming = true
        reply.start(OK, headers)
    }

    internal fun onEvent(
        from: Attempt,
        event: StreamEvent,
    ) {
        if (from !== attempt) return
        notePause()
        val id = event.id
        val last = lastEventId
        if (id != null && last != null && id <= last) return
        if (id != null) lastEventId = id
        reply.write(Unpooled.wrappedBuffer(event.bytes))
    }

    private fun notePause() {
        val now = parts.clock.nowMs()
        if (firstEventAt == null) firstEventAt = now else longestPauseMs = maxOf(longestPauseMs, now - lastWriteAt)
        lastWriteAt = now
    }

    internal fun onStreamEnd(
        from: Attempt,
        remainder: ByteArray,
    ) {
        if (from !== attempt) return
        parts.health.onSuccess(from.target.key)
        if (remainder.isNotEmpty()) reply.write(Unpooled.wrappedBuffer(remainder))
        end("served", from)
        reply.finish()
    }

    internal fun onWhole(
        from: Attempt,
        answer: WorkerAnswer,
        headers: HttpHeaders,
        body: ByteArray,
    ) {
        if (from !== attempt) return
        val failed = answer.status >= SERVER_ERROR
        parts.health.onAnswer(from.target.key, failed)
        val another = failed && parts.health.failsOften(from.target.key)
        if (another && mayRepeat() && !streaming && retryFrom(from, "worker_${answer.status}")) return
        if (streaming) {
            breakOff("resume refused with ${answer.status}", from)
            return
        }
        end(if (failed) "worker_error" else "served", from, "status" to answer.status)
        reply.send(answer.status, headers, body)
    }

    internal fun onNotRun(
        from: Attempt,
        answer: WorkerAnswer,
    ) {
        if (from !== attempt) return
        detach(from)
        if (from.target.replica != null) {
            parts.health.suspect(from.target.key)
        } else {
            parts.health.onFailure(from.target.key)
        }
        val again = sentTo.size < route.maxAttempts && parts.budget(accepted.service).tryRetry()
        if (again) {
            retryNow("not_run_${answer.status}")
        } else {
            onNoTarget(Admission.Refuse("worker did not run it: ${answer.status}", NOT_RUN_RETRY_MS))
        }
    }

    internal fun onFailure(
        from: Attempt,
        failure: CallFailure,
    ) {
        if (from !== attempt) return
        detach(from)
        parts.health.onFailure(from.target.key)
        parts.listener.logRequest(
            "attempt.failed",
            accepted.id,
            "target" to from.target.key.text,
            "step" to failure.step,
            "peer" to failure.peer,
            "cause" to failure.cause,
        )
        if (failure.step == CallStep.CONNECT) {
            onConnectFailure(from)
            return
        }
        mayHaveRun = true
        if (!mayRepeat() || !tryRetry("broken_off")) breakOff(failure.cause, from)
    }

    private fun onConnectFailure(from: Attempt) {
        sentTo.remove(from.target.key)
        unreachable.add(from.target.key)
        if (unreachable.size <= MAX_UNREACHABLE && parts.clock.nowMs() < accepted.deadline) {
            dispatch()
        } else {
            breakOff("no connection", from)
        }
    }

    private fun retryFrom(
        from: Attempt,
        reason: String,
    ): Boolean {
        mayHaveRun = true
        detach(from)
        val retried = tryRetry(reason)
        if (!retried) attempt = from
        return retried
    }

    private fun tryRetry(reason: String): Boolean {
        if (!parts.budget(accepted.service).tryRetry()) return false
        retryNow(reason)
        return true
    }

    private fun retry(reason: String) {
        mayHaveRun = true
        if (!tryRetry(reason)) breakOff("retry budget is used up", null)
    }

    private fun retryNow(reason: String) {
        parts.metrics.onRetry(reason)
        parts.listener.logRequest("request.retried", accepted.id, "reason" to reason, "after_event" to lastEventId)
        dispatch()
    }

    private fun mayRepeat(): Boolean = route.repeatable && sentTo.size < route.maxAttempts

    private fun onNoTarget(refusal: Admission.Refuse) {
        if (streaming || mayHaveRun) {
            breakOff(refusal.reason, null)
            return
        }
        end("refused", null, "reason" to refusal.reason, "retry_after_ms" to refusal.retryAfterMs)
        reply.send(UNAVAILABLE, parts.callerCodec.refusal(accepted.terms.id, refusal.retryAfterMs), ByteArray(0))
    }

    private fun breakOff(
        cause: String,
        from: Attempt?,
    ) {
        end("broken_off", from, "cause" to cause)
        when {
            streaming -> reply.abort()
            mayHaveRun -> reply.send(BAD_GATEWAY, refusalHeaders(), ByteArray(0))
            else -> reply.send(UNAVAILABLE, parts.callerCodec.refusal(accepted.terms.id, NOT_RUN_RETRY_MS), ByteArray(0))
        }
    }

    private fun onDeadline() {
        if (ended) return
        val current = attempt
        val sent = mayHaveRun || current?.sent == true
        end("deadline", current, "sent" to sent)
        current?.abandon()
        when {
            streaming -> reply.abort()
            sent -> reply.send(GATEWAY_TIMEOUT, refusalHeaders(), ByteArray(0))
            else -> reply.send(UNAVAILABLE, refusalHeaders(), ByteArray(0))
        }
    }

    private fun refusalHeaders(): HttpHeaders = parts.callerCodec.refusal(accepted.terms.id, null)

    private fun onCallerGone() {
        if (ended) return
        val current = attempt
        end("caller_gone", current)
        current?.abandon()
    }

    private fun detach(from: Attempt) {
        if (attempt === from) attempt = null
        streams.remove(this)
        from.release()
    }

    private fun end(
        outcome: String,
        from: Attempt?,
        vararg details: Pair<String, Any?>,
    ) {
        ended = true
        deadlineTask?.cancel()
        waiting.remove(this)
        (attempt ?: from)?.let { detach(it) }
        val took = parts.clock.nowMs() - receivedAt
        parts.metrics.onAnswered(route.kind.name.lowercase(), outcome, took)
        parts.listener.logRequest(
            "request.ended",
            accepted.id,
            "outcome" to outcome,
            "route" to route.name,
            "customer" to accepted.customer?.name,
            "targets" to sentTo.joinToString(",") { it.text },
            "took_ms" to took,
            "first_event_ms" to firstEventAt?.let { it - receivedAt },
            "longest_pause_ms" to longestPauseMs.takeIf { firstEventAt != null },
            "configuration" to accepted.configuration.version,
            *details,
        )
        if (waiting.size > 0) parts.scheduler.run { waiting.retry() }
    }

    internal companion object {
        const val OK = 200

        /** Time from a free place to the first event of a short prompt, in milliseconds. */
        const val FIRST_EVENT_MS = 130L
        const val SERVER_ERROR = 500

        /** About the time in which another target is found or a full one has room. */
        const val NOT_RUN_RETRY_MS = 300L
        
        /** Targets without a connection before a request is given up. */
        const val MAX_UNREACHABLE = 3
    }
}
