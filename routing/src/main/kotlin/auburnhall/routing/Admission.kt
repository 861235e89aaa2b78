/*
 * Admission control: decides whether a request is sent, queued or refused while its targets are full. Designed for
 * bursts and the loss of replicas: a request is queued as long as the response is likely to be of use to its caller,
 * and refused immediately when the queue is so long that its turn would come too late. Requests that can still be on
 * time go first, so that a backlog does not delay every later request as well. The
 * same holds while targets name a limit for the requests that they take.
 */
package auburnhall.routing

/** Waiting time and queue position of a request for which an admission decision is made. */
data class QueueState(
    /** Time, in milliseconds, since the request was received. */
    val waitedMs: Long,
    /** Requests queued in this process for the same targets that go first. */
    val requestsAhead: Int,
    /** Requests that this process sent to the same targets in the last second. */
    val requestsSentLastSecond: Int,
    /** Requests per second that this process may send to the cold ones of the same targets. */
    val coldPerSecond: Double = 0.0,
)

/** Admission decision for a request. */
sealed interface Admission {
    data class Send(
        val target: Target,
        val load: Int,
    ) : Admission

    /** Queue the request and decide again when a slot becomes free. */
    data object Wait : Admission

    /** Refuse the request; a retry after [retryAfterMs] is likely to be admitted. */
    data class Refuse(
        val reason: String,
        val retryAfterMs: Long,
        /** Names and values of log fields that explain [reason]. */
        val evidence: List<Pair<String, Any?>> = emptyList(),
    ) : Admission
}

/** Turns the choice of the router into an admission decision. */
class AdmissionPolicy(
    /** Random fraction from 0 to 1, drawn for each refusal, that spreads the retries of refused callers. */
    private val jitter: () -> Double,
) {
    /** Decides what happens to the request whose wait and queue position are [queue]. */
    fun decide(
        choice: Choice,
        queue: QueueState,
    ): Admission =
        when (choice) {
            is Choice.Send -> Admission.Send(choice.target, choice.load)
            is Choice.None -> refuse("no target", NO_TARGET_RETRY_MS)
            is Choice.Evacuated -> refuse("data centres evacuated", EVACUATED_RETRY_MS)
            is Choice.Full -> whenFull(choice, queue)
            is Choice.Limited -> whenLimited(choice, queue)
        }

    /** Waits for the next turn of the process, or refuses at once if that is too late. */
    private fun whenLimited(
        choice: Choice.Limited,
        queue: QueueState,
    ): Admission {
        val expectedMs = maxOf(choice.waitMs, expectedMs(queue))
        return if (queue.waitedMs + expectedMs < MAX_WAIT_MS) {
            Admission.Wait
        } else {
            refuse("targets take no more requests", maxOf(expectedMs, FULL_RETRY_MS))
        }
    }

    private fun expectedMs(queue: QueueState): Long {
        val perSecond = maxOf(queue.requestsSentLastSecond + 1.0, queue.coldPerSecond)
        return (queue.requestsAhead * MS_PER_SECOND / perSecond).toLong()
    }

    private fun whenFull(
        choice: Choice.Full,
        queue: QueueState,
    ): Admission {
        val limit = choice.target.slots * (if (choice.target.replica == null) PLAIN_OVERCOMMIT else REPLICA_OVERCOMMIT)
        return when {
            choice.load < limit -> Admission.Send(choice.target, choice.load)
            queue.waitedMs + expectedMs(queue) < MAX_WAIT_MS -> Admission.Wait
            else -> refuse("targets full", FULL_RETRY_MS)
        }
    }

    private fun refuse(
        reason: String,
        baseMs: Long,
    ) = Admission.Refuse(reason, baseMs + (baseMs * jitter()).toLong())

    companion object {
        /** Longest wait for a slot; callers of streams disconnect after 2 s without an event. */
        const val MAX_WAIT_MS = 1_200L

        /** Maximum requests at a replica as a multiple of its slots; more would queue there, out of priority order. */
        private const val REPLICA_OVERCOMMIT = 1.05

        /** Same for plain services, whose short requests leave a slot idle while the next request is in transit. */
        private const val PLAIN_OVERCOMMIT = 1.5

        /** About the time that forming a new replica takes. */
        private const val NO_TARGET_RETRY_MS = 700L

        /** The end of an evacuation is not known in advance; a caller that has time left asks again after this. */
        private const val EVACUATED_RETRY_MS = 1_000L

        /** About the time in which half of the streams of a full replica end. */
        private const val FULL_RETRY_MS = 700L
        private const val MS_PER_SECOND = 1_000L
    }
}
