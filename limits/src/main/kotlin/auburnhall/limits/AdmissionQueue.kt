/*
 * The decisions of admission: which waiting request gets the next free place, and which is refused because it could not
 * be answered in time. It has no threads and no clock; callers hold a lock and pass the time.
 */
package auburnhall.limits

import auburnhall.core.CustomerId
import auburnhall.core.FleetView
import auburnhall.core.Reason
import auburnhall.core.ReplicaStatus
import auburnhall.routing.RequestEnd
import auburnhall.routing.RouteRequest
import auburnhall.routing.RouteResult
import auburnhall.routing.Router

/** What became of a waiting request. */
sealed interface Verdict {
    /** The request may be sent to [replica]. */
    data class Place(
        val replica: ReplicaStatus,
        val startedAtMillis: Long,
        val expectedTokens: Double,
    ) : Verdict

    /** The request is refused. */
    data class Refused(
        val reason: Reason,
        val retryAfterSeconds: Long?,
    ) : Verdict
}

/**
 * A request in the queue. [verdict] is null while it waits.
 *
 * @property latestStart last monotonic time, in milliseconds, at which a start is expected to meet its deadlines.
 * @property shareBy until when the request waits for a share of its customer's limits.
 */
class WaitingRequest internal constructor(
    val request: AdmissionRequest,
    val arrivedAtMillis: Long,
    val latestStart: Long,
    val shareBy: Long,
    internal val shares: CustomerShares,
) {
    /** The decision; null while the request waits. */
    var verdict: Verdict? = null
        internal set

    /** Called once [verdict] is set. */
    var onDecided: () -> Unit = {}

    internal val route = RouteRequest(request.model, request.prefixes, request.excluded)
    internal val needsShare get() = !request.resumes
}

/**
 * Settings of admission.
 *
 * @property maxWaiting most requests that wait at one process.
 * @property shareWaitMillis how long a request waits for a share of its customer's limits.
 * @property refuseEarly whether a request that could not start in time is refused at once.
 */
data class AdmissionSettings(
    val maxWaiting: Int = MAX_WAITING,
    val shareWaitMillis: Long = SHARE_WAIT_MILLIS,
    val refuseEarly: Boolean = true,
) {
    private companion object {
        const val MAX_WAITING = 1_000
        const val SHARE_WAIT_MILLIS = 600L
    }
}

/** What the queue looks up whenever it decides. */
interface AdmissionInputs {
    /** The fleet as known now. */
    fun fleet(): FleetView

    /** Number of entry processes that serve requests now, this one included. */
    fun activeProcesses(): Int
}

/** Requests that wait for a place, and places in use. Not thread-safe. */
class AdmissionQueue(
    private val settings: AdmissionSettings,
    private val router: Router,
    private val inputs: AdmissionInputs,
) {
    internal val accounts = HashMap<CustomerId, CustomerShares>()
    private val check = ArrivalCheck(settings, inputs)
    private val models = LinkedHashMap<String, ModelQueue>()

    /** Requests that wait. */
    val waiting: Int get() = models.values.sumOf { it.size }

    /** Whether a request waits for a share of its customer's limits. */
    val isShort: Boolean get() = accounts.values.any { it.isShort }

    /** Takes [request] in; it may be refused at once, and otherwise waits for [dispatch]. */
    fun offer(
        request: AdmissionRequest,
        nowMillis: Long,
    ): WaitingRequest {
        val account = accounts.getOrPut(request.customer) { CustomerShares(request.customer, request.plan) }
        account.plan = request.plan
        if (!request.resumes) account.onArrival(nowMillis)
        val model = models.getOrPut(request.model) { ModelQueue(request.model) }
        val waiting = check.prepare(request, account, model, nowMillis)
        val reason = check.refusal(waiting, model, this.waiting, nowMillis)
        if (reason == null) model.add(waiting) else refuse(waiting, reason)
        return waiting
    }

    /** Gives free places to waiting requests and refuses those that waited too long. */
    fun dispatch(nowMillis: Long) {
        val fleet = inputs.fleet()
        accounts.values.forEach { it.isShort = false }
        models.values.forEach { dispatch(it, fleet, nowMillis) }
    }

    /** Takes a request out that its caller gave up. */
    fun withdraw(waiting: WaitingRequest) {
        if (waiting.verdict == null) refuse(waiting, Reason.CALLER_GONE, models[waiting.request.model])
    }

    /** The first token of a request with [place] came. */
    fun onFirstToken(
        waiting: WaitingRequest,
        place: Verdict.Place,
        nowMillis: Long,
    ) {
        models[waiting.request.model]?.pace?.onFirstToken(nowMillis - place.startedAtMillis)
    }

    /** A request with [place] ended after it generated [tokens]. */
    fun finish(
        waiting: WaitingRequest,
        place: Verdict.Place,
        end: PlaceEnd,
        nowMillis: Long,
    ) {
        val complete = end.outcome == TicketOutcome.COMPLETED
        waiting.shares.finish(end.tokens, if (waiting.needsShare) place.expectedTokens else 0.0, complete)
        val model = models[waiting.request.model] ?: return
        val heldMillis = nowMillis - place.startedAtMillis
        model.inProgress -= 1
        model.pace.onEnd(heldMillis, end.tokens, complete)
        router.onFinish(place.replica.replica.id, place.startedAtMillis, nowMillis, end.forRouting(heldMillis))
    }

    /** Lets what is no longer needed go. */
    fun forget(nowMillis: Long) {
        accounts.values.removeIf { it.isIdle(nowMillis) }
        models.values.forEach { it.forget(accounts.keys) }
        models.values.removeIf { it.size == 0 && it.inProgress == 0 }
        router.retain(inputs.fleet())
    }

    private fun dispatch(
        model: ModelQueue,
        fleet: FleetView,
        nowMillis: Long,
    ) {
        val known = fleet.replicas.any { it.replica.model == model.name }
        val late = if (known) Reason.QUEUE_TIMEOUT else Reason.NO_REPLICA
        model.overdue(nowMillis).forEach { refuse(it, late, model) }
        if (model.size == 0) return
        val fair = check.fairPlaces(model.name, fleet)
        var full = model.inProgress >= fair && !check.hasSpare(model.name, fleet)
        while (!full) {
            val next = model.next(nowMillis) ?: break
            full = !place(next, model, router.choose(fleet, next.route, nowMillis), nowMillis)
            if (model.inProgress >= fair && !check.hasSpare(model.name, fleet)) full = true
        }
        model.beyondLimits(nowMillis).forEach { (w, reason) -> refuse(w, reason, model) }
    }

    private fun place(
        waiting: WaitingRequest,
        model: ModelQueue,
        result: RouteResult,
        nowMillis: Long,
    ): Boolean {
        val chosen = result as? RouteResult.Chosen ?: return false
        val expected = waiting.shares.expectedTokens(waiting.request.maxTokens)
        model.take(waiting, expected)
        if (waiting.needsShare) waiting.shares.start(expected) else waiting.shares.resume()
        model.inProgress += 1
        router.onStart(chosen.replica.replica.id, nowMillis)
        waiting.verdict = Verdict.Place(chosen.replica, nowMillis, expected)
        waiting.onDecided()
        return true
    }

    private fun refuse(
        waiting: WaitingRequest,
        reason: Reason,
        from: ModelQueue? = null,
    ) {
        from?.remove(waiting)
        val retry = if (reason.status == TOO_MANY || reason.status == UNAVAILABLE) RETRY_AFTER_SECONDS else null
        waiting.verdict = Verdict.Refused(reason, retry)
        waiting.onDecided()
    }

    private companion object {
        const val RETRY_AFTER_SECONDS = 1L
        const val TOO_MANY = auburnhall.core.HttpStatus.TOO_MANY_REQUESTS
        const val UNAVAILABLE = auburnhall.core.HttpStatus.UNAVAILABLE
    }
}

/** How a request with a place ended, and how many tokens it generated there. */
data class PlaceEnd(
    val outcome: TicketOutcome,
    val tokens: Int,
) {
    internal fun forRouting(heldMillis: Long): RequestEnd =
        when (outcome) {
            TicketOutcome.COMPLETED -> RequestEnd.Answered(speed(heldMillis))
            TicketOutcome.CANCELLED -> RequestEnd.Cancelled
            TicketOutcome.REPLICA_FAILED -> RequestEnd.Failed
        }

    /** Tokens a second; 0 when there were too few to tell the speed from the time of the prompt. */
    private fun speed(heldMillis: Long): Double =
        if (tokens < LEAST_TOKENS) 0.0 else tokens * MILLIS_PER_SECOND / heldMillis.coerceAtLeast(1)

    private companion object {
        const val MILLIS_PER_SECOND = 1_000.0
        const val LEAST_TOKENS = 50
    }
}
