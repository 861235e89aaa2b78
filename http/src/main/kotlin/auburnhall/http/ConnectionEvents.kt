/*
 * What is observed of connections apart from their requests and responses, for logs and metrics.
 */
package auburnhall.http

import auburnhall.core.Address

/** How bytes of a peer arrived that belong to no response that was awaited. */
enum class StrayKind {
    /** While no call was in progress; the connection is closed. */
    IDLE,

    /** Behind a complete response; the connection is closed. */
    BEHIND_RESPONSE,

    /** As a late response to an earlier call, which is dropped. */
    LATE_RESPONSE,
}

/** Bytes of [peer] that belong to no response that was awaited, on a connection that has carried [calls] calls. */
data class StrayBytes(
    val peer: Address,
    val kind: StrayKind,
    val calls: Int,
)

/** Why this process closes a caller's connection. */
enum class CloseReason {
    /** A response that had begun cannot be completed. */
    RESPONSE_ABORTED,

    /** The caller has neither sent nor taken anything for the idle timeout. */
    IDLE,

    /** A response cannot be encoded. */
    WRITE_ERROR,

    /** An error on the connection, or in the handling of what was received on it. */
    ERROR,
}

/** The caller's connection from [peer] ends with bytes of responses unsent, or with requests unanswered. */
data class CutConnection(
    val peer: String,
    val reason: CloseReason,
    /** Bytes that are dropped before they are handed over to the operating system. */
    val unsentBytes: Long,
    /** Complete requests without a complete response. */
    val unansweredRequests: Int,
    /** The error, if there was one. */
    val cause: String?,
)

/** The handler of a request from [peer] failed with [cause], an unexpected error; the request ended with a failure. */
data class HandlerError(
    val peer: String,
    val cause: String,
)
