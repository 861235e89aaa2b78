/*
 * What is decided when a request arrives: until when it has to start, and whether there is any hope that it will.
 */
package auburnhall.limits

import auburnhall.core.FleetView
import auburnhall.core.Reason

/** Sets the latest start of arriving requests and refuses those that could not be answered in time. */
internal class ArrivalCheck(
    private val settings: AdmissionSettings,
    private val inputs: AdmissionInputs,
) {
    /** Prepares [request] for [model]'s queue. A free place may be taken now, whatever the estimates say. */
    fun prepare(
        request: AdmissionRequest,
        account: CustomerShares,
        model: ModelQueue,
        nowMillis: Long,
    ): WaitingRequest {
        val hold = model.pace.holdMillis(account.expectedTokens(request.maxTokens))
        val firstToken = request.firstTokenBy.atMillis - model.pace.firstTokenMillis.toLong()
        val answer = request.answerBy.atMillis
        val latest = if (request.resumes || !settings.refuseEarly) answer else minOf(firstToken, answer - hold)
        val shareBy = minOf(nowMillis + settings.shareWaitMillis, answer)
        return WaitingRequest(request, nowMillis, maxOf(latest, nowMillis), shareBy, account)
    }

    /** Returns why [request] is refused at once, when [waiting] requests wait here already; null when it is not. */
    fun refusal(
        request: WaitingRequest,
        model: ModelQueue,
        waiting: Int,
        nowMillis: Long,
    ): Reason? {
        val hopeless = waiting >= settings.maxWaiting || isTooLate(request, model, nowMillis)
        return if (hopeless) Reason.DEADLINE_UNREACHABLE else null
    }

    /** This process's equal part of all places of [model]. */
    fun fairPlaces(
        model: String,
        fleet: FleetView,
    ): Double {
        val places = fleet.replicas.sumOf { if (it.replica.model == model) it.capacity else 0 }
        return places.toDouble() / inputs.activeProcesses().coerceAtLeast(1)
    }

    /**
     * Tells whether reports show so many free places of [model] that a process may go beyond its equal part. Without
     * this bound all processes would fill the same few places before the next report.
     */
    fun hasSpare(
        model: String,
        fleet: FleetView,
    ): Boolean {
        val replicas = fleet.replicas.filter { it.replica.model == model }
        val free = replicas.sumOf { (it.capacity - it.running - it.queued).coerceAtLeast(0) }
        return free > replicas.sumOf { it.capacity } * SPARE_SHARE
    }

    private fun isTooLate(
        request: WaitingRequest,
        model: ModelQueue,
        nowMillis: Long,
    ): Boolean {
        if (!settings.refuseEarly || request.request.resumes || model.size == 0) return false
        val places = maxOf(fairPlaces(model.name, inputs.fleet()), model.inProgress.toDouble())
        return nowMillis + model.waitMillis(request, places) > request.latestStart
    }

    private companion object {
        const val SPARE_SHARE = 0.05
    }
}
