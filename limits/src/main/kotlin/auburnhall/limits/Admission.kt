/*
 * Admission of requests: the customer's limits, the queue, and the choice of a replica with room.
 */
package auburnhall.limits

import auburnhall.core.CustomerId
import auburnhall.core.Deadline
import auburnhall.core.Plan
import auburnhall.core.Refusal
import auburnhall.core.ReplicaId
import auburnhall.core.ReplicaStatus
import auburnhall.core.RequestId

/**
 * A request that asks for a place on a replica.
 *
 * @property prefixes hashes of the prompt's prefixes, as by [auburnhall.core.PromptPrefix].
 * @property maxTokens most tokens the answer may have.
 * @property firstTokenBy when the plan promises the first token.
 * @property answerBy when the plan promises the whole answer.
 * @property excluded replicas that already failed this request.
 * @property resumes whether this continues an answer that was admitted before; its limits are not charged again.
 */
data class AdmissionRequest(
    val requestId: RequestId,
    val customer: CustomerId,
    val plan: Plan,
    val model: String,
    val prefixes: List<Int>,
    val maxTokens: Int,
    val firstTokenBy: Deadline,
    val answerBy: Deadline,
    val excluded: Set<ReplicaId> = emptySet(),
    val resumes: Boolean = false,
)

/** Outcome of asking for admission. */
sealed interface AdmissionResult {
    /** The request may be sent to the replica of [ticket]. */
    data class Admitted(
        val ticket: AdmissionTicket,
    ) : AdmissionResult

    /** The request is refused; it has not run. */
    data class Refused(
        val refusal: Refusal,
    ) : AdmissionResult
}

/** How an admitted request ended at its replica. */
enum class TicketOutcome {
    /** The whole answer came. */
    COMPLETED,

    /** The caller hung up or the answer's deadline passed. */
    CANCELLED,

    /** The replica refused, broke off, or fell silent. */
    REPLICA_FAILED,
}

/** A place on one replica. Must be closed by [finish] exactly once; until then it counts against the customer. */
interface AdmissionTicket {
    /** The chosen replica. */
    val replica: ReplicaStatus

    /** Time spent in the queue, in milliseconds. */
    val waitedMillis: Long

    /** The first token came. */
    fun onFirstToken()

    /** Gives the place back. [tokens] is the number of tokens generated here. */
    fun finish(
        outcome: TicketOutcome,
        tokens: Int,
    )
}

/** Admits requests. */
interface Admission {
    /** Blocks the calling traffic thread until [request] has a place, is refused, or its first token is overdue. */
    fun admit(request: AdmissionRequest): AdmissionResult
}
