/*
 * Keeps requests that crash workers away from them: what the requests of this process, and the reports of others, mean
 * for the parts of their prompts.
 */
package auburnhall.routing

import auburnhall.core.Clock
import auburnhall.core.EventListener
import auburnhall.core.log

/** Connects the requests of this process with the verdicts on prompt parts. Traffic thread only. */
class PartGuard(
    private val clock: Clock,
    val verdicts: PartVerdicts,
    private val listener: EventListener,
) {
    private val evidence = verdicts.evidence
    private val quarantine = verdicts.quarantine

    /** A request with [parts] for [served], a model or plain service, was received. */
    fun onRequest(
        parts: Collection<PromptPart>,
        served: String,
    ) = evidence.onRequest(parts, served)

    /** The quarantined part among [parts]; null if the request may be sent. */
    fun find(parts: Collection<PromptPart>): QuarantinedPart? = quarantine.find(parts)

    /** A request was refused because of [part]. */
    fun onRefused(part: PromptPart) = quarantine.onRefused(part)

    /** Whether a request with [parts] may be sent again after [crashed] crashed: none is suspected of another crash. */
    fun mayRetry(
        parts: Collection<PromptPart>,
        crashed: TargetKey,
    ): Boolean = !evidence.isSuspected(parts, crashed) && quarantine.find(parts) == null

    /**
     * A target crashed with a request of this process that has [parts], in the order of the prompt. A quarantined part
     * among them explains the crash.
     */
    fun onCrash(
        parts: List<PromptPart>,
        crash: PartCrash,
    ) {
        val known = quarantine.find(parts)
        if (known != null) {
            evidence.explain(setOf(crash.target))
            verdicts.reporter.crashed(listOf(known.part), crash)
            return
        }
        val suspected = recordCrash(parts, crash)
        if (suspected.isEmpty()) return
        listener.log(
            "part.suspected",
            "parts" to suspected.joinToString(","),
            "target" to crash.target.text,
            "cause" to "crashed with request ${crash.request}",
        )
        verdicts.reporter.crashed(suspected, crash)
    }

    /** Another process reported that [crash] has cast suspicion on [parts]. */
    fun onReportedCrash(
        parts: List<PromptPart>,
        crash: PartCrash,
    ) {
        if (quarantine.find(parts) != null) {
            evidence.explain(setOf(crash.target))
        } else {
            recordCrash(parts, crash)
            parts.forEach(verdicts.servedReports::onSuspected)
        }
    }

    /** A target began at [beganAtMs] to respond to a request with [parts] for [served], and did not crash. */
    fun onServed(
        parts: Collection<PromptPart>,
        served: String,
        beganAtMs: Long,
    ) {
        evidence.onServed(parts, served, beganAtMs).forEach(verdicts.servedReports::onSuspected)
        parts.forEach { verdicts.releaseServed(it, beganAtMs) }
    }

    /** Another process reported that a request with [part] was served [ageMs] milliseconds ago. */
    fun onReportedServed(
        part: PromptPart,
        ageMs: Long,
    ) {
        val servedAtMs = clock.nowMs() - ageMs
        evidence.acquit(part, servedAtMs)
        verdicts.servedReports.onReported(part, servedAtMs)
        verdicts.releaseServed(part, servedAtMs)
    }

    private fun recordCrash(
        parts: List<PromptPart>,
        crash: PartCrash,
    ): List<PromptPart> {
        verdicts.decideSoon()
        return evidence.onCrash(parts, crash)
    }
}
