/*
 * The port through which calls reach plain services. Its results say whether the service can have seen the call, since
 * that decides what a caller may be told and what may be tried again.
 */
package auburnhall.gateway

import auburnhall.core.Deadline
import auburnhall.core.StepError

/** One header field. */
data class HeaderField(
    val name: String,
    val value: String,
)

/**
 * One call to a service instance.
 *
 * @property path path with query, beginning with a slash.
 * @property answerBy when the whole answer is due.
 * @property dispatchBefore the first byte must not be sent at or after this; null when it may be sent at any time.
 * @property fresh whether the call needs a connection of its own, so that no idle one can break under it.
 */
data class ServiceCall(
    val address: String,
    val method: String,
    val path: String,
    val headers: List<HeaderField>,
    val body: ByteArray,
    val answerBy: Deadline,
    val dispatchBefore: Deadline? = null,
    val fresh: Boolean = false,
)

/** What came of a [ServiceCall]. */
sealed interface ServiceResult {
    /** The service answered. */
    class Answered(
        val status: Int,
        val contentType: String,
        val headers: List<HeaderField>,
        val body: ByteArray,
    ) : ServiceResult

    /** No byte of the call was sent: the connection was refused, or the call was late for its dispatch. */
    data class NotSent(
        val error: StepError,
    ) : ServiceResult

    /** At least one byte may have been sent and no usable answer came. */
    data class MayHaveBeenReceived(
        val error: StepError,
    ) : ServiceResult
}

/** Forwards calls to plain services. */
interface ServiceClient : AutoCloseable {
    /** Blocks until the service has answered or [ServiceCall.answerBy] has passed. Does not throw. */
    fun call(call: ServiceCall): ServiceResult

    override fun close()
}
