/*
 * When a request is sent, waits, or is refused because its targets are full. Answers bursts and the loss of replicas:
 * a request waits as long as its caller is likely to get something out of it, and is refused at once when so many
 * wait that its turn would come too late. Those that can still be on time go first, so that a backlog does not make
 * every later request late as well.
 */
package auburnhall.routing

/** What is known of a request when its targets are looked at. */
data class QueueState(
    /** Time, in milliseconds, since it was received. */
    val waitedMs: Long,
    /** Requests that wait in this process for the same targets and go first. */
    val requestsAhead: Int,
    /** Requests for the same targets that were sent by this process in the last second. */
    val requestsSentLastSecond: Int,
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
        waiting: QueueState,
    ): Admission =
        when (choice) {
            is Choice.Send -> Admission.Send(choice.target, choice.load)
            is Choice.None -> refuse("no target", NO_TARGET_RETRY_MS)
            is Choice.Full -> whenFull(choice, waiting)
        }

    private fun whenFull(
        choice: Choice.Full,
        waiting: QueueState,
    ): Admission {
        val queued = choice.target.slots * (if (choice.target.replica == null) PLAIN_QUEUE else REPLICA_QUEUE)
        val expectedMs = waiting.requestsAhead * MS_PER_SECOND / (waiting.requestsSentLastSecond + 1)
        return when {
            choice.load < queued -> Admission.Send(choice.target, choice.load)
            waiting.waitedMs + expectedMs < MAX_WAIT_MS -> Admission.Wait
            else -> refuse("targets full", FULL_RETRY_MS)
        }
    }

    private fun refuse(
        reason: String,
        baseMs: Long,
    ) = Admission.Refuse(reason, baseMs + (baseMs * spread()).toLong())

    companion object {
        /** Longest wait for a place, in milliseconds; callers of streams leave after two seconds without an event. */
        const val MAX_WAIT_MS = 1_200L

        /** Requests at a replica, as a multiple of its slots: more would wait there, out of our order. */
        private const val REPLICA_QUEUE = 1.05

        /** As above for plain services, whose short requests leave a place idle while the next is on its way. */
        private const val PLAIN_QUEUE = 1.5

        /** About the time in which a replica is formed anew. */
        private const val NO_TARGET_RETRY_MS = 700L

        /** About the time in which half of the streams of a full replica end. */
        private const val FULL_RETRY_MS = 700L
        private const val MS_PER_SECOND = 1_000L
    }
}
