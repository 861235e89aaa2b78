/*
 * One accepted request: when it is sent to a target, queued, refused or retried.
 */
package auburnhall.gateway

import auburnhall.http.ResponseWriter
import auburnhall.routing.Admission
import auburnhall.routing.AdmissionPolicy
import auburnhall.routing.Choice
import auburnhall.routing.QueueState
import auburnhall.routing.Target
import auburnhall.routing.TargetPool

/** Forwards one request. Traffic thread only. */
class ForwardedRequest internal constructor(
    private val context: GatewayContext,
    private val accepted: AcceptedRequest,
    private val response: ResponseWriter,
    private val inFlight: InFlightRequests,
) {
    private val callerResponse = CallerResponse(context.clock, response, context.codecs.caller, accepted)
    private val state = RequestState(context, accepted, callerResponse) { inFlight.onEnded(this) }
    private val resumeWait = ResumeWait(context, state)

    /** Sends the request again after an attempt has failed. */
    internal val retries = Retries(context, state, resumeWait) { dispatch() }

    /** Ends the request without a response from a worker. */
    internal val end = RequestEnd(state)
    private val outcomes = AttemptOutcomeHandler(context, state, this, end)

    /** Passes the request on to other processes. */
    internal val passing = RequestPassing(context, state, this, outcomes)
    private val supervision = ReplicaSupervision(context, state, this)

    /** The targets that can serve the request. */
    val pool = TargetPool(accepted.service, accepted.metadata.model)

    /** 0 is served first. */
    val priority: Int get() = accepted.customer?.priority ?: accepted.route.priority

    /** When the request was received, in milliseconds of the monotonic clock. */
    val receivedAtMs: Long get() = accepted.request.receivedAt

    /** Whether no attempt is in progress. */
    val hasNoAttempt: Boolean get() = state.attempt == null

    /** The data centre of the worker that runs it, as far as is known; null while no attempt is in progress. */
    val dataCentre: String? get() =
        state.attempt
            ?.target
            ?.worker
            ?.dataCentre

    /** Starts forwarding; called once. */
    fun start() {
        inFlight.onStarted(this)
        response.onDisconnect = { end.onCallerDisconnected() }
        response.onWritabilityChange = { state.attempt?.setReading(response.writable) }
        state.deadlineTask =
            context.scheduler.after(accepted.deadlineMs - context.clock.nowMs()) { end.onDeadline() }
        dispatch()
    }

    /** Whether the latency target of the route can still be met if the request is sent at [now]. */
    fun canMeetLatency(now: Long): Boolean = now - receivedAtMs + FIRST_EVENT_DELAY_MS <= accepted.route.targetLatencyMs

    /** Whether [AdmissionPolicy.MAX_WAIT_MS], the longest wait for a slot, has passed since it was received. */
    fun waitedMaximum(now: Long): Boolean = now - receivedAtMs >= AdmissionPolicy.MAX_WAIT_MS

    /** Sends the request to a target, queues it or refuses it, unless it has ended; returns false if it was queued. */
    fun dispatch(): Boolean {
        if (state.ended) return true
        val refusal = state.crashes.refusal()
        refusal?.let(end::onNoTarget)
        return refusal != null || decide() !is Admission.Wait
    }

    /** Checks the replica of the current attempt; returns when to check again, in ms of the monotonic clock. */
    fun checkReplica(): Long = supervision.check()

    /** Ends the request if a part of its prompt is quarantined, unless a target has begun to respond to it. */
    fun stopIfQuarantined() {
        val current = state.attempt?.takeIf { !it.established } ?: return
        val refusal = state.crashes.refusal() ?: return
        current.cancel()
        state.detach(current)
        state.mayHaveExecuted = true
        end.onNoTarget(refusal)
    }

    /** Sends the request elsewhere if it waits for a connection to a worker in an evacuated data centre. */
    fun withdrawIfEvacuated() {
        val current = state.attempt?.takeIf { it.isConnecting } ?: return
        if (!context.state.targets.isEvacuated(current.target)) return
        current.cancel()
        state.onWithdrawn(current.target.key)
        outcomes.onWithdrawn(current)
    }

    private fun refuse(refusal: Admission.Refuse) {
        if (!resumeWait.begin { dispatch() }) end.onNoTarget(refusal)
    }

    private fun decide(): Admission {
        val choice = state.choose()
        val admission =
            if (choice is Choice.Full && state.mayHaveExecuted) {
                Admission.Send(choice.target, choice.load)
            } else {
                context.admission.decide(
                    choice,
                    QueueState(
                        context.clock.nowMs() - receivedAtMs,
                        inFlight.queue.waitingIn(pool),
                        inFlight.queue.sentLastSecond(pool),
                        context.limits.cold?.perSecond(state.targets()) ?: 0.0,
                    ),
                )
            }
        when (admission) {
            is Admission.Send -> send(admission.target)
            is Admission.Wait -> inFlight.enqueue(this)
            is Admission.Refuse -> if (!passing.insteadOf(choice)) refuse(admission)
        }
        return admission
    }

    /** Sends the request to [target]; with [checksEnd] only to learn whether events follow the last one. */
    internal fun send(
        target: Target,
        checksEnd: Boolean = false,
    ) {
        val attemptsLeft = state.attemptsLeft
        state.onSent(target.key)
        resumeWait.end()
        if (target.helper) passing.onSent(target, attemptsLeft) else inFlight.queue.onSent(pool)
        val resumeAfterEventId = callerResponse.lastEventId?.toString() ?: accepted.metadata.lastEventId
        val options = AttemptOptions(resumeAfterEventId, priority, checksEnd, attemptsLeft)
        val attempt = Attempt(context, accepted, target, options, outcomes)
        state.attempt = attempt
        if (target.replica != null) inFlight.supervise(this)
        attempt.send()
        if (!response.writable) attempt.setReading(false)
    }

    private companion object {
        /** Assumed time from sending a request with a short prompt to its first event. */
        const val FIRST_EVENT_DELAY_MS = 130L
    }
}
