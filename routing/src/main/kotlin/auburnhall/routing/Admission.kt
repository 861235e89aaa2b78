/*
 * When a request is sent, waits, or is refused because its targets are full. Answers bursts and the loss of replicas: a
 * short wait bridges a moment, a longer one would only make every later request late as well.
 */
package auburnhall.routing

import auburnhall.core.RequestKind

/** What is known of a request when its targets are looked at. */
data class Waiting(
    val kind: RequestKind,
    /** Time, in milliseconds, since it was received. */
    val waitedMs: Long,
    /** Time, in milliseconds, within which its answer is on time. */
    val targetLatencyMs: Long,
    /** Requests that wait in this process for the same targets. */
    val ahead: Int,
)

/** What to do with a request. */
sealed interface Admission {
    data class Send(
        val target: Target,
        val load: Int,
    ) : Admission

    /** Look again when a place becomes free. */
    data object Wait : Admission

    /** Refuse it; a caller who comes back after [retryAfterMs] is likely to find room. */
    data class Refuse(
        val reason: String,
        val retryAfterMs: Long,
    ) : Admission
}

/** Decides by the choice of the router. */
class AdmissionPolicy(
    /** A fraction from 0 to 1, drawn anew for each refusal, that spreads returning callers. */
    private val spread: () -> Double,
) {
    /** Decides what happens to the request described by [waiting]. */
    fun decide(
        choice: Choice,
        waiting: Waiting,
    ): Admission =
        when (choice) {
            is Choice.Send -> Admission.Send(choice.target, choice.load)
            is Choice.None -> refuse("no target", NO_TARGET_RETRY_MS)
            is Choice.Full -> whenFull(choice, waiting)
        }

    private fun whenFull(
        choice: Choice.Full,
        waiting: Waiting,
    ): Admission {
        val limit = choice.target.slots * QUEUE_FACTOR
        val patience = (waiting.targetLatencyMs * WAIT_SHARE).toLong()
        return when {
            choice.load < limit -> Admission.Send(choice.target, choice.load)
            waiting.waitedMs < patience -> Admission.Wait
            else -> refuse("targets full", FULL_RETRY_MS)
        }
    }

    private fun refuse(
        reason: String,
        baseMs: Long,
    ) = Admission.Refuse(reason, baseMs + (baseMs * spread()).toLong())

    private companion object {
        /** Requests at a target, as a multiple of its slots, so that a place is refilled without a round trip. */
        const val QUEUE_FACTOR = 1.3

        /** Part of the target latency that a request waits for a place. */
        const val WAIT_SHARE = 0.5

        /** About the time in which a replica is formed anew. */
        const val NO_TARGET_RETRY_MS = 700L

        /** About the time in which a tenth of the streams of a full replica end. */
        const val FULL_RETRY_MS = 400L
    }
}
