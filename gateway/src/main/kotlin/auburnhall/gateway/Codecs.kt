/*
 * Interfaces for the headers of callers and workers. The platform defines the names of the headers; only the
 * implementations know them.
 */
package auburnhall.gateway

import auburnhall.routing.PromptPart
import io.netty.handler.codec.http.HttpHeaders

/** Values of the headers of a caller's request. */
data class CallerRequestMetadata(
    /** Identifies the request; null when the caller gave none. */
    val id: String?,
    /** Time, in milliseconds, until the caller stops waiting; null if not stated. */
    val timeLeftMs: Long?,
    val apiKey: String?,
    /** The model asked for; null for plain services. */
    val model: String?,
    /** Tokens of the prompt; 0 when not stated. */
    val promptTokens: Int,
    /** Id of the last event that the caller received of an interrupted stream; null for a new request. */
    val lastEventId: String?,
    /** Parts of the prompt that other requests may share: all but the last, in the order of the prompt. */
    val sharedParts: List<PromptPart> = emptyList(),
)

/** Reads the headers of callers' requests and builds those of the gateway's own responses. */
interface CallerCodec {
    fun read(headers: HttpHeaders): CallerRequestMetadata

    /**
     * Returns the headers of the gateway's own response to the request [id]; [retryAfterMs] is null if no time to retry
     * is stated.
     */
    fun refusalHeaders(
        id: String?,
        retryAfterMs: Long?,
    ): HttpHeaders
}

/** Values for the headers of a request to a worker. */
data class WorkerRequestMetadata(
    /** Time, in milliseconds, until the response must be complete. */
    val timeLeftMs: Long,
    /** Id of the worker that the request is for; another worker at the same address refuses it. */
    val workerId: String,
    /** Name of the customer; null for routes that need no API key. */
    val customer: String?,
    /** Id of the last relayed event of a stream to resume; null to start from the beginning. */
    val resumeAfterEventId: String?,
    /** 0 is served first; null for the default. */
    val priority: Int?,
)

/** What the status and headers of a worker's response state. */
data class WorkerResponseHead(
    val status: Int,
    /** Whether the worker states that it did not execute the request. */
    val notExecuted: Boolean,
    /** Whether the response has the worker's signature and its body was not re-encoded. */
    val authentic: Boolean,
    /** Whether the body is a stream of server-sent events. */
    val eventStream: Boolean,
    /** Id of the worker at fault, if it is not the one that responded. */
    val faultyWorkerId: String?,
    /** Requests per second, above 0, that the worker takes from all processes together; null if it names no limit. */
    val requestsPerSecond: Double? = null,
    /** Whether the worker is about to stop. */
    val leaving: Boolean = false,
    /** For how long, in milliseconds, the worker wants nothing from this process; null if it does not say so. */
    val pauseMs: Long? = null,
    /** Whether the request reached another worker than the one it was sent to, which refused it. */
    val misdirected: Boolean = false,
    /** For how long, in milliseconds, the worker says that it stays cold; null if it does not say. */
    val coldRemainingMs: Long? = null,
) {
    /** Whether the status is that of a success. */
    val isSuccess: Boolean get() = status / STATUSES_PER_CLASS == SUCCESS_CLASS

    private companion object {
        const val STATUSES_PER_CLASS = 100
        const val SUCCESS_CLASS = 2
    }
}

/** Builds the headers of requests to workers and reads those of their responses. */
interface WorkerCodec {
    /** Name of the header with the request id, which workers copy from the request into the response. */
    val idHeader: String

    /** Returns the headers of a request to a worker, made from those of the caller's request. */
    fun requestHeaders(
        caller: HttpHeaders,
        metadata: WorkerRequestMetadata,
    ): HttpHeaders

    /** Returns the headers of a request that is passed on to another process: those of the caller's, updated. */
    fun passedOnHeaders(
        caller: HttpHeaders,
        timeLeftMs: Long,
        resumeAfterEventId: String?,
    ): HttpHeaders

    /** Reads the head of a response to a request to the worker [workerId]. */
    fun read(
        status: Int,
        headers: HttpHeaders,
        workerId: String,
    ): WorkerResponseHead
}
