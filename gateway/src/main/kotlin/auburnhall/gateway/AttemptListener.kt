/*
 * What an attempt is asked to send, and what it reports.
 */
package auburnhall.gateway

import auburnhall.http.CallFailure
import io.netty.handler.codec.http.HttpHeaders

/** Receives the outcome of an attempt. */
internal interface AttemptListener {
    /** The worker has started to respond with a stream. */
    fun onStreamHead(
        attempt: Attempt,
        headers: HttpHeaders,
    )

    /** A complete event of the stream was received. */
    fun onEvent(
        attempt: Attempt,
        event: StreamEvent,
    )

    /** The stream has ended; [remainder] was received after its last complete event. */
    fun onStreamEnd(
        attempt: Attempt,
        remainder: ByteArray,
    )

    /** A complete response that is not a stream was received. */
    fun onFullResponse(
        attempt: Attempt,
        head: WorkerResponseHead,
        headers: HttpHeaders,
        body: ByteArray,
    )

    /** The worker states that it did not execute the request. */
    fun onNotExecuted(
        attempt: Attempt,
        head: WorkerResponseHead,
    )

    /** The attempt failed before a complete response was received. */
    fun onFailure(
        attempt: Attempt,
        failure: CallFailure,
    )
}

/** What an attempt sends in addition to the request. */
internal data class AttemptOptions(
    /** Id of the last event that the caller received; null to start from the first. */
    val resumeAfterEventId: String?,
    /** 0 is served first. */
    val priority: Int,
    /** Whether it is made only to learn whether events follow the last one that the caller received. */
    val checksEnd: Boolean = false,
    /** Number of targets that the request may be sent to, this one included. */
    val attemptsLeft: Int = 1,
)
