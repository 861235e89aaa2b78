/*
 * What the gateway needs to know of the headers of callers and workers. The names of the headers are the platform's
 * and are known to the implementations only.
 */
package auburnhall.gateway

import io.netty.handler.codec.http.HttpHeaders

/** What a caller states with a request. */
data class CallerRequestMetadata(
    /** Identifies the request; null when the caller gave none. */
    val id: String?,
    /** Time, in milliseconds, that the caller goes on waiting; null when not stated. */
    val timeLeftMs: Long?,
    val apiKey: String?,
    /** The model asked for; null for plain services. */
    val model: String?,
    /** Tokens of the prompt; 0 when not stated. */
    val promptTokens: Int,
    /** The last event that the caller has of a stream that broke off. */
    val lastEventId: String?,
)

/** Reads callers' headers and writes those of refusals. */
interface CallerCodec {
    fun read(headers: HttpHeaders): CallerRequestMetadata

    /**
     * Headers of an answer of our own to the request [id]; [retryAfterMs] is null when the caller is not asked
     * back.
     */
    fun refusalHeaders(
        id: String?,
        retryAfterMs: Long?,
    ): HttpHeaders
}

/** What a worker is told with a request. */
data class WorkerRequestMetadata(
    /** Time, in milliseconds, that is left for the answer. */
    val timeLeftMs: Long,
    /** The worker that may run it; another one at its address refuses. */
    val workerId: String,
    /** Null for routes that need no key. */
    val customer: String?,
    /** The last event that was passed on of a stream that is to go on; null to start it from the beginning. */
    val resumeAfterEventId: String?,
    /** 0 is served first; null for the usual. */
    val priority: Int?,
)

/** What a worker's status and headers say. */
data class WorkerResponseHead(
    val status: Int,
    /** Whether the worker states that it did not run the request. */
    val notExecuted: Boolean,
    /** Whether the answer bears the worker's signature and a body as the worker made it. */
    val authentic: Boolean,
    /** Whether the body is a stream of events. */
    val eventStream: Boolean,
    /** The worker that is at fault, where another one than the answering one is. */
    val faultyWorkerId: String?,
)

/** Writes workers' headers and reads those of their answers. */
interface WorkerCodec {
    /** The header that workers repeat from the request. */
    val idHeader: String

    /** The headers for a worker, made from the caller's. */
    fun requestHeaders(
        caller: HttpHeaders,
        metadata: WorkerRequestMetadata,
    ): HttpHeaders

    fun read(
        status: Int,
        headers: HttpHeaders,
    ): WorkerResponseHead
}
