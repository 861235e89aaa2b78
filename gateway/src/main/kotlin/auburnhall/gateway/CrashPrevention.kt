/*
 * Keeps one request from crashing workers: reports crashes that it may have caused, and refuses it because of a part of
 * its prompt that crashes workers.
 */
package auburnhall.gateway

import auburnhall.http.CallFailure
import auburnhall.routing.Admission
import auburnhall.routing.PartCrash

/** Connects one request with what is known about the parts of its prompt. Traffic thread only. */
internal class CrashPrevention(
    private val context: GatewayContext,
    private val accepted: AcceptedRequest,
) {
    private val parts = accepted.metadata.sharedParts

    /** Whether the request must not be sent. */
    val isQuarantined: Boolean get() = context.parts.find(parts) != null

    /** Why the request must not be sent; null if it may be. */
    fun refusal(): Admission.Refuse? {
        val part = context.parts.find(parts) ?: return null
        context.parts.onRefused(part.part)
        val now = context.clock.nowMs()
        val ageMs = now - part.sinceMs
        val evidence = listOf("part" to part.part, "crashes" to part.crashes, "age_ms" to ageMs)
        return Admission.Refuse(QUARANTINED, part.untilMs - now, evidence)
    }

    /**
     * Whether the request may be sent to another target after [attempt] ended with [failure]: not if it may have
     * crashed its target, and a part of its prompt is suspected of another crash.
     */
    fun mayRetryAfter(
        attempt: Attempt,
        failure: CallFailure,
    ): Boolean {
        val crashed = failure.closedByPeer && !attempt.established && parts.isNotEmpty()
        if (!crashed || attempt.target.helper) return true
        val target = attempt.target
        context.parts.onCrash(parts, PartCrash(target.key, accepted.id, target.served))
        return context.parts.mayRetry(parts, target.key)
    }

    private companion object {
        const val QUARANTINED = "prompt part is quarantined"
    }
}
