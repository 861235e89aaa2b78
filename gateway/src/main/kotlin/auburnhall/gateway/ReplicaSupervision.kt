/*
 * Supervises the replica of a request: a silent one is suspected, and the request is moved from a lost one to another
 * target. Answers the loss of a replica under load: many streams look for a target at the same moment, few targets have
 * room, and the retry budget is short. A silent replica may still respond, so no request ends because of the silence.
 */
package auburnhall.gateway

import auburnhall.core.logRequest
import auburnhall.routing.Choice
import auburnhall.routing.Liveness
import auburnhall.routing.Target
import auburnhall.routing.TargetKey

/** Supervises the replica of [request], whose state is [state]. Traffic thread only. */
internal class ReplicaSupervision(
    private val context: GatewayContext,
    private val state: RequestState,
    private val request: ForwardedRequest,
) {
    /** Checks the current attempt; returns when to check again, in milliseconds of the monotonic clock. */
    fun check(): Long {
        val current = state.attempt?.takeIf { state.response.writable } ?: return Long.MAX_VALUE
        val key = current.target.key
        val liveness = context.failureDetector.liveness(key, current.lastProgressAtMs, current.hasEvents)
        if (liveness != Liveness.ALIVE && !context.health.isSuspect(key)) suspect(current)
        val lost = liveness == Liveness.LOST || context.health.isLost(key)
        val movable = state.mayRepeat && !current.onlyChecksEnd
        if (lost && movable) move(current)
        return if (lost) context.clock.nowMs() + LOST_RECHECK_MS else nextChangeAtMs(current, key)
    }

    private fun nextChangeAtMs(
        current: Attempt,
        key: TargetKey,
    ) = context.failureDetector.nextChangeAtMs(key, current.lastProgressAtMs, current.hasEvents)

    private fun suspect(current: Attempt) {
        val key = current.target.key
        context.health.markSuspect(key)
        context.suspicionListener.onSuspect(key)
        val silentMs = context.clock.nowMs() - current.lastProgressAtMs
        context.listener.logRequest(
            "replica.suspected",
            state.accepted.id,
            "target" to key.text,
            "silent_ms" to silentMs,
        )
    }

    /** Sends the request to another target if one takes it now and the budget allows it; else [current] goes on. */
    private fun move(current: Attempt) {
        val target = alternative(current.target.key) ?: return
        if (!request.retries.acquire("silent")) return
        current.cancel()
        state.detach(current)
        state.mayHaveExecuted = true
        request.send(target)
    }

    /** A target that takes the request now; one that is full only if the controller tears the replica of [key] down. */
    private fun alternative(key: TargetKey): Target? {
        if (state.crashes.isQuarantined || !state.hasAlternative()) return null
        return when (val choice = state.choose()) {
            is Choice.Send -> choice.target
            is Choice.Full -> choice.target.takeIf { context.health.isLost(key) }
            is Choice.Limited, is Choice.None, is Choice.Evacuated -> null
        }
    }

    private companion object {
        /** Time after which a request at a lost replica is tried again at another target, if it could not be before. */
        const val LOST_RECHECK_MS = 40L
    }
}
