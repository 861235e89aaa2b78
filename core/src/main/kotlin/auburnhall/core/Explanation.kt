/*
 * Records that explain one request to a manager.
 */
package auburnhall.core

import kotlinx.serialization.Serializable

/** One thing that refused, delayed or interrupted a request. [atMillis] counts from the request's arrival. */
@Serializable
data class ExplanationEvent(
    val atMillis: Long,
    val step: Step,
    val peer: String,
    val reason: Reason,
    val detail: String,
)

/** Why a request was refused, late or went on elsewhere. [target] is the model or service asked for. */
@Serializable
data class Explanation(
    val requestId: RequestId,
    val customer: CustomerId?,
    val plan: String?,
    val target: String,
    val process: ProcessId,
    /** ISO-8601 time of arrival. */
    val arrivedAt: String,
    /** Milliseconds from arrival to the end of the answer. */
    val tookMillis: Long,
    val runState: RunState,
    /** Status sent to the caller. */
    val status: Int,
    val events: List<ExplanationEvent>,
)
