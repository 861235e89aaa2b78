/*
 * Refusals in the format that callers of chat models expect, extended by what this system promises to say: whether the
 * request ran, its id, and the cause in words.
 */
package auburnhall.gateway

import auburnhall.core.HttpStatus
import auburnhall.core.Reason
import auburnhall.core.Refusal
import auburnhall.core.RequestId
import auburnhall.core.RunState
import auburnhall.core.Step
import auburnhall.core.StepError
import kotlinx.serialization.SerialName
import kotlinx.serialization.Serializable
import kotlinx.serialization.json.Json

/** The body of every refusal. */
@Serializable
internal data class ErrorBody(
    val error: ErrorObject,
)

/** What a caller is told of a refusal. */
@Serializable
internal data class ErrorObject(
    val message: String,
    val type: String,
    val code: String,
    val param: String?,
    @SerialName("run_state") val runState: String,
    @SerialName("request_id") val requestId: String,
    val reason: String,
)

/** The JSON text that tells the caller of request [id] about this refusal. */
internal fun Refusal.toJson(
    id: RequestId,
    param: String? = null,
): String {
    val message = "${reason.words} ${error.message}"
    val error = ErrorObject(message, type(), reason.code, param, runState.code, id.value, reason.words)
    return Json.encodeToString(ErrorBody.serializer(), ErrorBody(error))
}

/** The name of this state in answers and logs. */
internal val RunState.code: String get() = name.lowercase()

private fun Refusal.type(): String =
    when (reason.status) {
        HttpStatus.UNAUTHORIZED -> "authentication_error"
        HttpStatus.FORBIDDEN -> "permission_error"
        HttpStatus.TOO_MANY_REQUESTS -> "rate_limit_error"
        in HttpStatus.BAD_REQUEST until HttpStatus.INTERNAL_ERROR -> "invalid_request_error"
        else -> "server_error"
    }

/** A reply that refuses a request which certainly did not run. */
internal fun refused(
    reason: Reason,
    step: Step,
    peer: String,
    message: String,
    param: String? = null,
) = Reply.Refused(Refusal(reason, RunState.NOT_RUN, StepError(step, peer, message)), param)
