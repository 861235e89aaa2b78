/*
 * Errors and refusals. An error names the step at which it arose and the peer it was talking to; a refusal adds what a
 * manager needs to know, first of all whether the request ran.
 */
package auburnhall.core

import kotlinx.serialization.Serializable

/** The step of a request or controller at which an error arose. */
enum class Step {
    ACCEPT,
    AUTHENTICATE,
    AUTHORISE,
    ADMIT,
    KEEP_INTENT,
    ROUTE,
    DISPATCH,
    STREAM,
    FINISH,
    RETRY,
    READ_CONFIGURATION,
    APPLY_CONFIGURATION,
    FORM,
    LOAD,
    SERVE,
    HEAL,
    DISSOLVE,
    DRAIN,
    EXPLAIN,
}

/** An error with the step and the peer at which it arose. [peer] is an instance, process, service or address. */
data class StepError(
    val step: Step,
    val peer: String,
    val message: String,
) {
    override fun toString(): String = "$step at $peer: $message"
}

/** Whether a request that was refused or failed took effect at its target. */
@Serializable
enum class RunState {
    /** It is certain that the target never received it. */
    NOT_RUN,

    /** The target completed it. */
    RAN,

    /** The target may have received it and its outcome is unknown. */
    MAY_HAVE_RUN,
}

/**
 * Why a request was refused or delayed. [words] is the sentence shown to managers.
 *
 * @property status HTTP status of the refusal.
 */
@Serializable
enum class Reason(
    val code: String,
    val status: Int,
    val words: String,
) {
    MALFORMED("malformed_request", HttpStatus.BAD_REQUEST, "The request is not valid; it was not passed on."),
    BODY_TOO_LARGE(
        "body_too_large",
        HttpStatus.CONTENT_TOO_LARGE,
        "The request body is larger than the system accepts.",
    ),
    HEADER_TOO_LARGE(
        "header_too_large",
        HttpStatus.HEADERS_TOO_LARGE,
        "The request headers are larger than the system accepts.",
    ),
    CALLER_TOO_SLOW("caller_too_slow", HttpStatus.REQUEST_TIMEOUT, "The caller did not send its request in time."),
    CALLER_GONE("caller_gone", HttpStatus.CALLER_CLOSED, "The caller hung up before the answer was complete."),
    BAD_KEY("invalid_api_key", HttpStatus.UNAUTHORIZED, "The API key belongs to no customer."),
    NOT_IN_PLAN("not_in_plan", HttpStatus.FORBIDDEN, "The customer's plan does not include what was asked for."),
    UNKNOWN_TARGET("unknown_target", HttpStatus.NOT_FOUND, "No model or service of that name is configured."),
    KEY_REQUIRED(
        "idempotency_key_required",
        HttpStatus.BAD_REQUEST,
        "A call that may not be repeated needs an Idempotency-Key header.",
    ),
    KEY_REUSED(
        "idempotency_key_reused",
        HttpStatus.UNPROCESSABLE,
        "The Idempotency-Key was used before with another request body.",
    ),
    REQUEST_RATE(
        "request_rate",
        HttpStatus.TOO_MANY_REQUESTS,
        "The customer reached the requests per second of its plan.",
    ),
    TOKEN_RATE("token_rate", HttpStatus.TOO_MANY_REQUESTS, "The customer reached the tokens per second of its plan."),
    CONCURRENCY(
        "concurrency",
        HttpStatus.TOO_MANY_REQUESTS,
        "The customer reached the concurrent requests of its plan.",
    ),
    DEADLINE_UNREACHABLE(
        "deadline_unreachable",
        HttpStatus.UNAVAILABLE,
        "All replicas were so busy that the answer could not have been ready in the time the plan promises.",
    ),
    QUEUE_TIMEOUT("queue_timeout", HttpStatus.UNAVAILABLE, "No replica became free in the time the plan promises."),
    NO_REPLICA("no_replica", HttpStatus.UNAVAILABLE, "No complete replica of the model was serving."),
    NO_SERVICE_INSTANCE("no_service_instance", HttpStatus.UNAVAILABLE, "No instance of the service was reachable."),
    CONFIGURATION_STALE(
        "configuration_stale",
        HttpStatus.UNAVAILABLE,
        "This entry process could not confirm that its copy of the operators' lists is current.",
    ),
    STORE_UNAVAILABLE(
        "store_unavailable",
        HttpStatus.UNAVAILABLE,
        "The platform's key-value service could not record the order, so it was not passed on.",
    ),
    IN_PROGRESS("in_progress", HttpStatus.CONFLICT, "The same order is being carried out for an earlier call."),
    OUTCOME_UNKNOWN(
        "outcome_unknown",
        HttpStatus.GATEWAY_TIMEOUT,
        "The order was passed on and its outcome is not known.",
    ),
    ENGINE_FAILED(
        "engine_failed",
        HttpStatus.BAD_GATEWAY,
        "The replica failed during the answer and no other could continue it.",
    ),
    TARGET_FAILED("target_failed", HttpStatus.BAD_GATEWAY, "The target failed before it answered."),
    DRAINING("draining", HttpStatus.UNAVAILABLE, "This entry process is being stopped."),
    ANSWER_LATE(
        "answer_late",
        HttpStatus.GATEWAY_TIMEOUT,
        "The answer was not complete in the time the plan promises.",
    ),
    RETRIED("retried", HttpStatus.OK, "A replica failed and the answer went on at another."),
    QUEUED("queued", HttpStatus.OK, "The request waited because all replicas were busy."),
    SLOW_REPLICA("slow_replica", HttpStatus.OK, "The replica answered more slowly than the plan promises."),
}

/** A refused or failed request, as told to the caller and kept for explanations. */
data class Refusal(
    val reason: Reason,
    val runState: RunState,
    val error: StepError,
    /** Seconds after which a retry may succeed; null when a retry cannot help. */
    val retryAfterSeconds: Long? = null,
)
